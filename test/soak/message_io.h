#ifndef WISTERIAREEL_TEST_SOAK_MESSAGE_IO_H_
#define WISTERIAREEL_TEST_SOAK_MESSAGE_IO_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "absl/time/time.h"
#include "test/soak/soak_history.h"

// Blocking loopback sockets and HTTP/1.1 messages.
namespace wisteriareel::soak {

// Owns a file descriptor; -1 is none.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  ~FileDescriptor() { Reset(); }
  FileDescriptor(FileDescriptor&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  void Reset();

 private:
  int fd_;
};

// Return an invalid descriptor on failure. Listens on any free port if `*port`
// is zero, and sets it.
FileDescriptor ListenOnLoopback(std::uint16_t* port);
FileDescriptor ConnectToLoopback(std::uint16_t port);

// Returns a port that was free when it was checked, or zero.
std::uint16_t FindFreePort();

// Returns false if the peer closed the connection.
bool SendAll(int fd, std::string_view bytes);

std::string EncodeChunk(std::string_view bytes);

struct HttpMessage {
  std::string start_line;
  // Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  // Returns an empty text if there is none.
  std::string Header(const std::string& name) const;
  // Returns the word of the start line with this index, or an empty text.
  std::string Word(std::size_t index) const;
  // Returns zero if this isn't a response.
  int Status() const;
};

// Reads the messages of one connection.
class HttpReader {
 public:
  explicit HttpReader(int fd) : fd_(fd) {}

  // Reads one message. If it doesn't end as its framing says, `message` holds
  // what was received.
  ResponseEnd Read(absl::Time deadline, HttpMessage* message);

 private:
  // Returns kComplete if bytes arrived.
  ResponseEnd Fill(absl::Time deadline);
  ResponseEnd ReadLine(absl::Time deadline, std::string* line);
  ResponseEnd ReadBytes(absl::Time deadline, std::size_t count,
                        std::string* bytes);
  ResponseEnd ReadHead(absl::Time deadline, HttpMessage* message);
  ResponseEnd ReadChunks(absl::Time deadline, std::string* body);

  const int fd_;
  std::string buffer_;
};

// Serves each connection to a port of its own on a thread. Subclasses call
// StopServing in their destructors.
class ConnectionServer {
 public:
  virtual ~ConnectionServer() = default;
  ConnectionServer(const ConnectionServer&) = delete;
  ConnectionServer& operator=(const ConnectionServer&) = delete;

  std::uint16_t port() const { return port_; }

 protected:
  ConnectionServer() = default;

  // Returns false if no port is free.
  bool StartServing();
  // Closes all connections and waits for their threads.
  void StopServing();
  bool stopping() const { return stopping_; }

  // Handles one request. Returns whether the connection stays open.
  virtual bool HandleRequest(const HttpMessage& request, int fd) = 0;

 private:
  struct Connection {
    FileDescriptor socket;
    std::thread thread;
    std::atomic<bool> ended = false;
  };

  void Accept();
  void ServeConnection(Connection* connection);

  FileDescriptor listener_;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread accept_thread_;
  // Used by the accepting thread, and after its end by StopServing.
  std::list<Connection> connections_;
};

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_MESSAGE_IO_H_
