#ifndef WISTERIAREEL_SRC_SETTINGS_SETTINGS_CHECKS_H_
#define WISTERIAREEL_SRC_SETTINGS_SETTINGS_CHECKS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"
#include "wisteriareel/strong_string.h"
#include "wisteriareel/types.h"

// Validators of single settings. Expectation() describes the accepted values.
// Parse() stores a valid JSON value and returns true, or returns false.
// `kSecret` keeps the value out of problem reports.
namespace wisteriareel::settings {

// An integer from `min` to `max`.
struct Count {
  static constexpr bool kSecret = false;
  std::int64_t min = 0;
  std::int64_t max = 0;

  std::string Expectation() const {
    return absl::StrCat("an integer from ", min, " to ", max);
  }

  template <typename T>
  bool Parse(const nlohmann::json& value, T* out) const {
    if (!value.is_number_integer()) return false;
    // An unsigned value beyond int64 would wrap to a negative one.
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX) {
      return false;
    }
    const auto n = value.get<std::int64_t>();
    if (n < min || n > max) return false;
    *out = static_cast<T>(n);
    return true;
  }
};

// A duration from `min` to `max`, given as an integer of milliseconds.
struct Milliseconds {
  static constexpr bool kSecret = false;
  absl::Duration min;
  absl::Duration max;

  std::string Expectation() const {
    return absl::StrCat("milliseconds, an integer from ",
                        absl::ToInt64Milliseconds(min), " to ",
                        absl::ToInt64Milliseconds(max));
  }

  bool Parse(const nlohmann::json& value, absl::Duration* out) const {
    std::int64_t n = 0;
    const Count count{absl::ToInt64Milliseconds(min),
                      absl::ToInt64Milliseconds(max)};
    if (!count.Parse(value, &n)) return false;
    *out = absl::Milliseconds(n);
    return true;
  }
};

struct Identifier {
  static constexpr bool kSecret = false;

  std::string Expectation() const {
    return "1 to 128 characters of [A-Za-z0-9._-]";
  }

  bool Parse(const nlohmann::json& value, std::string* out) const;

  template <typename Tag>
  bool Parse(const nlohmann::json& value, StrongString<Tag>* out) const {
    std::string text;
    if (!Parse(value, &text)) return false;
    *out = StrongString<Tag>(std::move(text));
    return true;
  }
};

// An IPv4 or IPv6 address.
struct IpAddress {
  static constexpr bool kSecret = false;

  std::string Expectation() const { return "an IP address"; }
  bool Parse(const nlohmann::json& value, std::string* out) const;
};

// An IPv4 address and a port, such as "10.0.0.1:80".
struct HostAndPort {
  static constexpr bool kSecret = false;

  std::string Expectation() const { return "an IP address and port, IP:PORT"; }
  bool Parse(const nlohmann::json& value, Endpoint* out) const;
};

// A number from `min` to `max`.
struct Number {
  static constexpr bool kSecret = false;
  double min = 0;
  double max = 0;

  std::string Expectation() const {
    return absl::StrCat("a number from ", min, " to ", max);
  }
  bool Parse(const nlohmann::json& value, double* out) const;
};

// A secret of at least `min` characters.
struct Secret {
  static constexpr bool kSecret = true;
  std::size_t min = 0;

  std::string Expectation() const {
    return absl::StrCat("a secret of at least ", min, " characters");
  }
  bool Parse(const nlohmann::json& value, std::string* out) const;
};

// The hexadecimal SHA-256 of a secret.
struct Sha256Digest {
  static constexpr bool kSecret = true;

  std::string Expectation() const {
    return "a SHA-256 digest: 64 lower-case hexadecimal digits";
  }
  bool Parse(const nlohmann::json& value, std::string* out) const;
};

// A non-empty file path. The file need not exist.
struct FilePath {
  static constexpr bool kSecret = false;

  std::string Expectation() const { return "the path of a file"; }
  bool Parse(const nlohmann::json& value, std::string* out) const;
};

// One of a set of named values.
template <typename T>
struct Choice {
  struct Option {
    std::string name;
    T value;
  };
  static constexpr bool kSecret = false;
  std::vector<Option> options;

  std::string Expectation() const {
    return absl::StrCat(
        "one of ", absl::StrJoin(options, ", ",
                                 [](std::string* out, const Option& option) {
                                   absl::StrAppend(out, "\"", option.name,
                                                   "\"");
                                 }));
  }

  bool Parse(const nlohmann::json& value, T* out) const {
    if (!value.is_string()) return false;
    for (const Option& option : options) {
      if (value.get_ref<const std::string&>() != option.name) continue;
      *out = option.value;
      return true;
    }
    return false;
  }
};

}  // namespace wisteriareel::settings

#endif  // WISTERIAREEL_SRC_SETTINGS_SETTINGS_CHECKS_H_
