#ifndef WISTERIAREEL_REVIEW_HARNESS_STORE_H_
#define WISTERIAREEL_REVIEW_HARNESS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "http.h"

namespace review {

// Stand-in of the platform's metadata store: its calls on rows, as the users'
// page on the protocol describes them. Thread-safe.
class Store {
 public:
  enum class Mode {
    kUp,
    // Takes calls and answers none.
    kSilent,
    // Resets each connection.
    kReset,
  };

  Store();
  ~Store();

  int port() const { return server_->port(); }

  // Writes a row of the operator or of a server. It is written again after
  // Restore.
  void WriteForeign(const std::string& table, const std::string& key,
                    const std::string& text);

  void SetMode(Mode mode);

  // Goes back to the rows and the version of `age_ms` ago, raises the era, and
  // writes the rows of the operator and the servers again.
  void Restore(std::int64_t age_ms);

  // Returns the value of a row, or nullopt.
  std::optional<std::string> Read(const std::string& table,
                                  const std::string& part,
                                  const std::string& key);

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    // As in the messages, in base64.
    std::string value;
    std::uint64_t version = 0;
  };
  // A change, with what it replaced.
  struct Change {
    std::int64_t at_ms = 0;
    std::uint64_t version = 0;
    Key key;
    std::optional<Row> before;
  };

  bool Handle(const HttpMessage& request, Connection* connection);
  std::string Commit(const std::string& body);
  std::string List(const std::map<std::string, std::string>& query);
  // Returns an empty string if the store went away meanwhile.
  std::string Feed(const std::map<std::string, std::string>& query);
  std::string Answer(int status, const std::string& body) const;
  void Apply(const Key& key, const std::optional<std::string>& value);

  std::mutex mutex_;
  std::condition_variable changed_;
  Mode mode_ = Mode::kUp;
  // Rises when the mode changes, so that calls in progress end.
  int mode_changes_ = 0;
  int era_ = 1;
  std::uint64_t version_ = 100;
  // No history before this version.
  std::uint64_t oldest_version_ = 0;
  std::map<Key, Row> rows_;
  std::map<Key, std::string> foreign_;
  std::vector<Change> changes_;
  std::unique_ptr<HttpServer> server_;
};

std::string Base64Encode(const std::string& text);
std::string Base64Decode(const std::string& text);

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_HARNESS_STORE_H_
