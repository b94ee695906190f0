// `robinpin store FOLDER`: prints what the store of a stopped control-plane process holds.
#pragma once

namespace robinpin::app {

// Nothing in the folder is changed. Returns the exit code: 1 if the store is corrupted, in use or absent.
int run_store_inspection(int argc, char** argv);

}  // namespace robinpin::app
