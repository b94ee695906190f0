// Says on standard error how a process ends that does not end on purpose. A process that was killed says
// nothing, which tells its end from the others.
#pragma once

namespace robinpin::app {

// From now on a fatal signal (an abort, too) and an uncaught exception each leave one E106 line before the
// process ends by that signal.
void install_crash_report();

}  // namespace robinpin::app
