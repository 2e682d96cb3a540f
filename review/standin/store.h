#ifndef WISTERIAREEL_REVIEW_STANDIN_STORE_H_
#define WISTERIAREEL_REVIEW_STANDIN_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include "nlohmann/json.hpp"
#include "review/standin/net.h"

namespace review {

// A call that reaches the store.
struct StoreCall {
  // Such as "/rows-tx".
  std::string path;
  // Partition of the rows; of a feed, empty.
  std::string part;
  // Table of the rows; of a transaction, that of its first row.
  std::string table;
  // Body of a transaction.
  nlohmann::json body;
  // The port that the call arrived at.
  std::uint16_t port = 0;
};

enum class StoreFault {
  kNone,
  // Answers 503; nothing is done.
  kUnavailable,
  // Does the call, closes the connection and answers nothing.
  kAnswerLost,
};

// Stand-in for the platform's store: tables with transactions, ranges and
// feeds. All calls are linearizable.
class Store {
 public:
  Store();

  std::uint16_t port() const { return port_; }

  // Returns a further port of the store, to tell its clients apart.
  std::uint16_t AddPort();

  // Sets the function that decides what happens to a call.
  void SetFault(std::function<StoreFault(const StoreCall&)> fault);

  // Writes a row as the operator or a server does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);

  // Returns the decoded value of a row, or an empty text.
  std::string Get(const std::string& table, const std::string& part,
                  const std::string& key);

 private:
  // Table, partition and key.
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    // In Base64.
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  void Serve(int fd, std::uint16_t port);
  // Returns the status and sets the body.
  int Handle(const StoreCall& call,
             const std::map<std::string, std::string>& query,
             nlohmann::json* reply);
  int Commit(const nlohmann::json& body, nlohmann::json* reply);
  void Range(const std::map<std::string, std::string>& query,
             nlohmann::json* reply);
  void Feed(const std::map<std::string, std::string>& query,
            nlohmann::json* reply);
  static Key ParseKey(const nlohmann::json& object);
  static nlohmann::json EncodeRow(const Key& key, const Row& row);
  void Stamp(nlohmann::json* reply) const;

  const SteadyClock::time_point started_ = SteadyClock::now();
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t version_ = 100;
  std::map<Key, Row> rows_;
  std::function<StoreFault(const StoreCall&)> fault_;
  // Last, since clients may call from then on.
  const std::uint16_t port_;
};

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_STANDIN_STORE_H_
