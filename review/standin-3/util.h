// Sockets, HTTP messages, time and the record of a case. Loopback only.
#ifndef WISTERIAREEL_REVIEW_STANDIN_3_UTIL_H_
#define WISTERIAREEL_REVIEW_STANDIN_3_UTIL_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline std::int64_t NowMs() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  static const auto start = std::chrono::steady_clock::now();
  return duration_cast<milliseconds>(std::chrono::steady_clock::now() - start)
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Lines of record.txt, each with the time since the start in ms.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) fclose(file_);
  }
  bool ok() const { return file_ != nullptr; }
  void Add(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    fprintf(file_, "%7lld %s\n", static_cast<long long>(NowMs()), line.c_str());
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  int fd() const { return fd_; }
  bool ok() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on `*port`, or on a free port below the range of outgoing
// connections if it is zero, and sets it.
inline Socket Listen(int* port) {
  static std::atomic<int> next{11000 + static_cast<int>(getpid()) % 97 * 200};
  for (int n = 0; n < 2000; ++n) {
    const int candidate = *port != 0 ? *port : 11000 + next++ % 20000;
    Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(listener.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(candidate);
    if (bind(listener.fd(), reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) == 0 &&
        listen(listener.fd(), 512) == 0) {
      *port = candidate;
      return listener;
    }
    if (*port != 0) SleepMs(2);
  }
  return Socket();
}

inline int FreePort() {
  int port = 0;
  Listen(&port);
  return port;
}

inline Socket Connect(int port) {
  Socket socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (connect(socket_.fd(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return Socket();
  }
  const int on = 1;
  setsockopt(socket_.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket_;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::string Chunk(const std::string& bytes) {
  char size[32];
  snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

struct Message {
  std::string start;
  // Names are in lower case.
  std::multimap<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  std::string Word(int n) const {
    std::size_t from = 0;
    for (; n > 0; --n) {
      from = start.find(' ', from);
      if (from == std::string::npos) return "";
      ++from;
    }
    return start.substr(from, start.find(' ', from) - from);
  }
  int Status() const { return atoi(Word(1).c_str()); }
};

enum class End { kComplete, kClosed, kReset, kTimeout, kMalformed };

inline const char* EndName(End end) {
  switch (end) {
    case End::kComplete:
      return "complete";
    case End::kClosed:
      return "closed";
    case End::kReset:
      return "reset";
    case End::kTimeout:
      return "timeout";
    case End::kMalformed:
      return "malformed";
  }
  return "?";
}

class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Reads a message. A response without a length ends with its connection.
  // `on_body` sees the body as it grows.
  End Read(std::int64_t deadline_ms, Message* message, bool is_response,
           const std::function<void(const std::string&)>& on_body = {}) {
    *message = Message();
    std::string line;
    do {
      if (const End end = Line(deadline_ms, &line); end != End::kComplete)
        return end;
    } while (line.empty());
    message->start = line;
    for (;;) {
      if (const End end = Line(deadline_ms, &line); end != End::kComplete)
        return end;
      if (line.empty()) break;
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return End::kMalformed;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(tolower(c));
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message->fields.emplace(name, line.substr(value));
    }
    if (message->Field("transfer-encoding") == "chunked") {
      return Chunks(deadline_ms, message, on_body);
    }
    const std::string length = message->Field("content-length");
    if (length.empty()) {
      if (!is_response) return End::kComplete;
      End end = End::kComplete;
      while (end == End::kComplete) {
        message->body += buffer_;
        if (on_body && !buffer_.empty()) on_body(message->body);
        buffer_.clear();
        end = Fill(deadline_ms);
      }
      return end == End::kClosed ? End::kComplete : end;
    }
    return Bytes(deadline_ms, strtoull(length.c_str(), nullptr, 10), message,
                 on_body);
  }

  bool HasBuffered() const { return !buffer_.empty(); }

 private:
  End Fill(std::int64_t deadline_ms) {
    const std::int64_t left = deadline_ms - NowMs();
    pollfd entry{.fd = fd_, .events = POLLIN, .revents = 0};
    if (left <= 0 ||
        poll(&entry, 1,
             static_cast<int>(std::min<std::int64_t>(left, 1 << 30))) <= 0) {
      return End::kTimeout;
    }
    char buf[16384];
    const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
    if (n < 0) return End::kReset;
    if (n == 0) return End::kClosed;
    buffer_.append(buf, static_cast<std::size_t>(n));
    return End::kComplete;
  }

  End Line(std::int64_t deadline_ms, std::string* line) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (buffer_.size() > (1 << 20)) return End::kMalformed;
      if (const End filled = Fill(deadline_ms); filled != End::kComplete)
        return filled;
    }
    *line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return End::kComplete;
  }

  End Bytes(std::int64_t deadline_ms, std::size_t count, Message* message,
            const std::function<void(const std::string&)>& on_body) {
    while (count > 0) {
      const std::size_t n = std::min(count, buffer_.size());
      if (n > 0) {
        message->body.append(buffer_, 0, n);
        buffer_.erase(0, n);
        count -= n;
        if (on_body) on_body(message->body);
        continue;
      }
      if (const End filled = Fill(deadline_ms); filled != End::kComplete)
        return filled;
    }
    return End::kComplete;
  }

  End Chunks(std::int64_t deadline_ms, Message* message,
             const std::function<void(const std::string&)>& on_body) {
    for (;;) {
      std::string line;
      if (const End end = Line(deadline_ms, &line); end != End::kComplete)
        return end;
      char* rest = nullptr;
      const std::size_t size = strtoull(line.c_str(), &rest, 16);
      if (rest == line.c_str()) return End::kMalformed;
      if (const End end = Bytes(deadline_ms, size, message, on_body);
          end != End::kComplete)
        return end;
      if (const End end = Line(deadline_ms, &line); end != End::kComplete)
        return end;
      if (!line.empty()) return End::kMalformed;
      if (size == 0) return End::kComplete;
    }
  }

  const int fd_;
  std::string buffer_;
};

// Serves each connection on a thread of its own.
class Server {
 public:
  virtual ~Server() = default;

  // Opens a port; `tag` is passed on with each request that arrives there.
  int Open(int tag, int port = 0) {
    auto listener = std::make_shared<Listener>();
    listener->port = port;
    listener->socket = review::Listen(&listener->port);
    if (!listener->socket.ok()) return 0;
    const int open = listener->port;
    const std::lock_guard<std::mutex> lock(mutex_);
    listeners_.push_back(listener);
    std::thread([this, listener, tag] { Accept(listener, tag); }).detach();
    return open;
  }

  // Closes the port and resets or closes its connections.
  void ClosePort(int port) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& listener : listeners_) {
      if (listener->port != port || listener->closed) continue;
      listener->closed = true;
      shutdown(listener->socket.fd(), SHUT_RDWR);
    }
    for (const auto& [fd, at] : connections_) {
      if (at == port) shutdown(fd, SHUT_RDWR);
    }
  }

  // Ends all connections; ports stay open.
  void DropConnections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [fd, at] : connections_) shutdown(fd, SHUT_RDWR);
  }

 protected:
  // Returns whether the connection stays open.
  virtual bool Handle(const Message& request, int fd, int tag) = 0;

 private:
  struct Listener {
    Socket socket;
    int port = 0;
    std::atomic<bool> closed{false};
  };

  void Accept(const std::shared_ptr<Listener>& listener, int tag) {
    while (!listener->closed) {
      Socket socket_(
          accept4(listener->socket.fd(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!socket_.ok()) {
        if (!listener->closed) SleepMs(5);
        continue;
      }
      const int on = 1;
      setsockopt(socket_.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, port = listener->port, tag,
                   socket = std::make_shared<Socket>(std::move(socket_))] {
        Serve(socket->fd(), port, tag);
      }).detach();
    }
    listener->socket.Close();
  }

  void Serve(int fd, int port, int tag) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      connections_[fd] = port;
    }
    Reader reader(fd);
    Message request;
    while (reader.Read(INT64_MAX, &request, false) == End::kComplete) {
      if (!Handle(request, fd, tag)) break;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      connections_.erase(fd);
    }
    shutdown(fd, SHUT_RDWR);
  }

  std::mutex mutex_;
  std::list<std::shared_ptr<Listener>> listeners_;
  std::map<int, int> connections_;
};

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_STANDIN_3_UTIL_H_
