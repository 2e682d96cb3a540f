#ifndef WISTERIAREEL_REVIEW_HARNESS_HTTP_H_
#define WISTERIAREEL_REVIEW_HARNESS_HTTP_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// HTTP/1.1 over blocking sockets on loopback, for stand-ins.
namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;

// Milliseconds since the start of the process.
std::int64_t NowMs();

struct HttpMessage {
  // Request line or status line.
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the value of the first header of this name, or an empty string.
  std::string Header(std::string_view name) const;
};

// A connection with a read buffer. Closes the socket at the end.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns nullptr if the connection can't be established in time.
  static std::unique_ptr<Connection> Open(int port,
                                          std::chrono::milliseconds timeout);

  // Reads more bytes into the buffer. Returns false at the end of the stream,
  // after a failure, or after `deadline`.
  bool Fill(SteadyTime deadline);
  bool Write(std::string_view bytes);
  // Makes the close send a reset.
  void ResetOnClose();
  // Ends blocking calls of other threads.
  void Shutdown();
  // Returns true if the peer has closed the connection.
  bool IsClosedByPeer() const;

  std::string& buffer() { return buffer_; }

  // Reads a head, with the request line or the status line.
  std::optional<HttpMessage> ReadHead(SteadyTime deadline);
  // Reads the body of a request.
  bool ReadRequestBody(HttpMessage* message, SteadyTime deadline);

 private:
  const int fd_;
  std::string buffer_;
};

// Serves each connection by a thread of its own until Stop.
class HttpServer {
 public:
  // Answers one request. Returns false to close the connection.
  using Handler = std::function<bool(const HttpMessage&, Connection*)>;

  explicit HttpServer(Handler handler);
  ~HttpServer();

  int port() const { return port_; }
  // Resets all connections that are open.
  void ResetConnections();
  void Stop();

 private:
  void Accept();
  void Serve(int fd);

  const Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<Connection*> open_;
  std::atomic<int> serving_ = 0;
};

// Returns a complete response.
std::string MakeResponse(
    int status, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers = {});

// Returns a port of loopback on which nothing listens.
int PickFreePort();

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_HARNESS_HTTP_H_
