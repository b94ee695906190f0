// Reading JSON with errors that name the faulty key; shared by all that reads JSON here.
#pragma once

#include <rapidjson/document.h>

#include <cmath>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "robinpin/choice.h"

namespace robinpin::read {

using value = rapidjson::Value;

struct malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] inline void wrong(const std::string& what) { throw malformed(what); }

// Reads a part; what is wrong in it is told with where it stands.
template <typename Read>
auto inside(const std::string& where, Read read) {
  try {
    return read();
  } catch (const malformed& what) {
    wrong(where + ": " + what.what());
  }
}

// Each of an array's entries, told apart by its place.
template <typename Take>
void each(const value& list, const std::string& name, Take take) {
  if (!list.IsArray()) wrong(name + " is not an array");
  for (rapidjson::SizeType i = 0; i < list.Size(); ++i)
    inside(name + "[" + std::to_string(i) + "]", [&] { take(list[i]); });
}

inline const value* find(const value& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

inline const value& need(const value& object, const char* name) {
  const value* v = find(object, name);
  if (!v) wrong(std::string("field ") + name + " is missing");
  return *v;
}

inline const value& object(const value& v, const char* name) {
  if (!v.IsObject()) wrong(std::string(name) + " is not an object");
  return v;
}

inline const value& array(const value& v, const char* name) {
  if (!v.IsArray()) wrong(std::string(name) + " is not an array");
  return v;
}

inline double number(const value& v, const char* name) {
  if (!v.IsNumber()) wrong(std::string(name) + " is not a number");
  return v.GetDouble();
}

inline double number(const value& o, const char* name, double absent) {
  const value* v = find(o, name);
  return v ? number(*v, name) : absent;
}

inline int integer(const value& v, const char* name) {
  const double d = number(v, name);
  if (d != std::floor(d) || std::abs(d) > 2e9) wrong(std::string(name) + " is not a whole number in range");
  return int(d);
}

inline bool flag(const value& o, const char* name) {
  const value* v = find(o, name);
  if (!v) return false;
  if (!v->IsBool()) wrong(std::string(name) + " is not true or false");
  return v->GetBool();
}

inline std::string text(const value& v, const char* name) {
  if (!v.IsString()) wrong(std::string(name) + " is not text");
  return {v.GetString(), v.GetStringLength()};
}

inline std::string text(const value& o, const char* name, const char* absent) {
  const value* v = find(o, name);
  return v ? text(*v, name) : absent;
}

// Outside, times are milliseconds with fractions; inside, whole microseconds.
inline micros time_of(double ms, const char* name) {
  if (!(std::abs(ms) <= 1e13)) wrong(std::string(name) + " is out of range");
  return std::llround(ms * 1000);
}
inline micros time_of(const value& o, const char* name) { return time_of(number(need(o, name), name), name); }
inline micros time_of(const value& o, const char* name, double absent) {
  return time_of(number(o, name, absent), name);
}

}  // namespace robinpin::read
