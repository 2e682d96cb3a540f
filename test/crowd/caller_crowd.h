#ifndef WISTERIAREEL_TEST_CROWD_CALLER_CROWD_H_
#define WISTERIAREEL_TEST_CROWD_CALLER_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "test/soak/message_io.h"

namespace wisteriareel::crowd {

// What each caller of a crowd sends on a connection: `begin`, then `repeated`
// as often as `times` says. It sends nothing after that and stays open.
struct CallerScript {
  std::string begin;
  std::string repeated;
  std::size_t times = 0;
  // Leaves all responses unread.
  bool reads_responses = true;

  std::size_t size() const { return begin.size() + repeated.size() * times; }
};

// Callers on loopback that run the same script at once, on one thread.
class CallerCrowd {
 public:
  CallerCrowd(std::uint16_t port, CallerScript script, int callers);

  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  // Connects all callers and sends until each has sent its script or can't go
  // on. A caller whose connection is closed connects again, at most
  // `reconnects` times. The connections stay open.
  void Run(int reconnects);

  // Closes all connections.
  void Leave() { members_.clear(); }

 private:
  struct Member {
    soak::FileDescriptor connection;
    std::size_t sent = 0;
    int connects = 0;
  };

  void Connect(Member* member);
  // Returns true if bytes were sent.
  bool Send(Member* member);
  // Returns false if the connection was closed.
  bool Discard(const Member& member) const;
  // Polls all connections once. Returns true if one of them made progress.
  bool Step(int reconnects);

  const std::uint16_t port_;
  const CallerScript script_;
  std::vector<Member> members_;
};

}  // namespace wisteriareel::crowd

#endif  // WISTERIAREEL_TEST_CROWD_CALLER_CROWD_H_
