#ifndef WISTERIAREEL_REVIEW_STANDIN_NET_H_
#define WISTERIAREEL_REVIEW_STANDIN_NET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Blocking loopback sockets and HTTP/1.1 messages for the stand-ins.
namespace review {

using SteadyClock = std::chrono::steady_clock;

// Listens on a free loopback port. Returns the descriptor, or -1.
int Listen(std::uint16_t* port);

// Returns a loopback port that was free when it was checked.
std::uint16_t FreePort();

// Connects to a loopback port. Returns the descriptor, or -1.
int Connect(std::uint16_t port);

// Returns false if the peer closed the connection.
bool SendAll(int fd, std::string_view bytes);

struct Message {
  std::string start_line;
  // Names are in lower case.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the first header of this name, or an empty text.
  std::string Header(std::string_view name) const;
  // Words of the start line.
  std::string Word(int index) const;
};

// Reads messages from a connection.
class MessageReader {
 public:
  explicit MessageReader(int fd) : fd_(fd) {}

  // Reads one message with a length or chunks. Returns false at the end of the
  // connection or if the message is malformed.
  bool Read(Message* message);

 private:
  bool Fill();

  const int fd_;
  std::string buffer_;
};

// What a client received in response to one request.
struct ClientResponse {
  // Zero if no head arrived.
  int status = 0;
  Message message;
  // The response ended where its framing says so.
  bool complete = false;
  // Bytes arrived that are not valid at their place in the protocol.
  bool malformed = false;
  // Start of the malformed bytes.
  std::string malformed_bytes;
};

// Reads one response until its end, the end of the connection or `deadline`.
ClientResponse ReadResponse(int fd, SteadyClock::time_point deadline);

// Sends `request` on a new connection and reads the response.
ClientResponse Call(std::uint16_t port, const std::string& request,
                    std::chrono::milliseconds timeout);

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_STANDIN_NET_H_
