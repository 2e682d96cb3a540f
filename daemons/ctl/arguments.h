#ifndef WISTERIAREEL_DAEMONS_CTL_ARGUMENTS_H_
#define WISTERIAREEL_DAEMONS_CTL_ARGUMENTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "docopt/docopt.h"

namespace wisteriareel::ctl {

// Error for an invalid value on the command line.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Typed access to a parsed command line. Throws UsageError for an invalid
// value. Immutable.
class Arguments {
 public:
  explicit Arguments(std::map<std::string, docopt::value> values);

  // Returns whether the command word, flag or option `name` was given.
  bool Has(const std::string& name) const;

  // Returns the text of `name`, or an empty string if it wasn't given.
  std::string Text(const std::string& name) const;

  // Returns all values of a repeatable option.
  std::vector<std::string> Texts(const std::string& name) const;

  // Returns an integer from `min` to `max`, or nullopt if it wasn't given.
  std::optional<std::int64_t> Number(const std::string& name, std::int64_t min,
                                     std::int64_t max) const;

  // Returns a duration such as "10s", or nullopt if it wasn't given.
  std::optional<absl::Duration> Duration(const std::string& name) const;

  // Returns a time, given in RFC 3339 or as a duration before `now`, or nullopt
  // if it wasn't given.
  std::optional<absl::Time> Time(const std::string& name, absl::Time now) const;

 private:
  const std::map<std::string, docopt::value> values_;
};

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_ARGUMENTS_H_
