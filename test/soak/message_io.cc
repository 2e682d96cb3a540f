#include "test/soak/message_io.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace wisteriareel::soak {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 16 << 10;
constexpr std::size_t kMaxLineBytes = 64 << 10;
// Below the ports that the kernel gives to outgoing connections, which could
// take the port of an instance while it is down.
constexpr std::uint32_t kFirstPort = 12'000;
constexpr std::uint32_t kPortCount = 20'000;
constexpr std::uint32_t kPortsPerProcess = 211;

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

void FileDescriptor::Reset() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

FileDescriptor ListenOnLoopback(std::uint16_t* port) {
  FileDescriptor listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = LoopbackAddress(*port);
  socklen_t size = sizeof(address);
  if (bind(listener.get(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener.get(), kBacklog) != 0 ||
      getsockname(listener.get(), reinterpret_cast<sockaddr*>(&address),
                  &size) != 0) {
    return FileDescriptor();
  }
  *port = ntohs(address.sin_port);
  return listener;
}

FileDescriptor ConnectToLoopback(std::uint16_t port) {
  FileDescriptor connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(connection.get(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return FileDescriptor();
  }
  const int on = 1;
  setsockopt(connection.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

std::uint16_t FindFreePort() {
  // Starts at different ports in processes that run at once.
  static std::atomic<std::uint32_t> next =
      static_cast<std::uint32_t>(getpid()) * kPortsPerProcess;
  for (std::uint32_t n = 0; n < kPortCount; ++n) {
    auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    if (ListenOnLoopback(&port).valid()) return port;
  }
  return 0;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::string EncodeChunk(std::string_view bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n",
                      absl::string_view(bytes.data(), bytes.size()), "\r\n");
}

std::string HttpMessage::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string HttpMessage::Word(std::size_t index) const {
  const std::vector<std::string> words = absl::StrSplit(start_line, ' ');
  return index < words.size() ? words[index] : "";
}

int HttpMessage::Status() const {
  int status = 0;
  return absl::SimpleAtoi(Word(1), &status) ? status : 0;
}

ResponseEnd HttpReader::Fill(absl::Time deadline) {
  const auto left = absl::ToInt64Milliseconds(deadline - absl::Now());
  pollfd entry{.fd = fd_, .events = POLLIN, .revents = 0};
  if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
    return ResponseEnd::kTimeout;
  }
  std::array<char, kReadBytes> buf;
  const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
  if (n < 0) return ResponseEnd::kReset;
  if (n == 0) return ResponseEnd::kClosed;
  buffer_.append(buf.data(), static_cast<std::size_t>(n));
  return ResponseEnd::kComplete;
}

ResponseEnd HttpReader::ReadLine(absl::Time deadline, std::string* line) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (buffer_.size() > kMaxLineBytes) return ResponseEnd::kMalformed;
    const ResponseEnd filled = Fill(deadline);
    if (filled != ResponseEnd::kComplete) return filled;
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return ResponseEnd::kComplete;
}

ResponseEnd HttpReader::ReadBytes(absl::Time deadline, std::size_t count,
                                  std::string* bytes) {
  while (count > 0) {
    const std::size_t n = std::min(count, buffer_.size());
    bytes->append(buffer_, 0, n);
    buffer_.erase(0, n);
    count -= n;
    if (count == 0) break;
    const ResponseEnd filled = Fill(deadline);
    if (filled != ResponseEnd::kComplete) return filled;
  }
  return ResponseEnd::kComplete;
}

ResponseEnd HttpReader::ReadHead(absl::Time deadline, HttpMessage* message) {
  ResponseEnd end = ReadLine(deadline, &message->start_line);
  while (end == ResponseEnd::kComplete) {
    std::string line;
    end = ReadLine(deadline, &line);
    if (end != ResponseEnd::kComplete || line.empty()) return end;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return ResponseEnd::kMalformed;
    message->headers[absl::AsciiStrToLower(line.substr(0, colon))] =
        std::string(absl::StripAsciiWhitespace(line.substr(colon + 1)));
  }
  return end;
}

ResponseEnd HttpReader::ReadChunks(absl::Time deadline, std::string* body) {
  for (;;) {
    std::string line;
    ResponseEnd end = ReadLine(deadline, &line);
    if (end != ResponseEnd::kComplete) return end;
    std::size_t size = 0;
    if (!absl::SimpleHexAtoi(line, &size)) return ResponseEnd::kMalformed;
    end = ReadBytes(deadline, size, body);
    if (end != ResponseEnd::kComplete) return end;
    end = ReadLine(deadline, &line);
    if (end != ResponseEnd::kComplete) return end;
    if (!line.empty()) return ResponseEnd::kMalformed;
    if (size == 0) return ResponseEnd::kComplete;
  }
}

ResponseEnd HttpReader::Read(absl::Time deadline, HttpMessage* message) {
  *message = HttpMessage();
  const ResponseEnd head = ReadHead(deadline, message);
  if (head != ResponseEnd::kComplete) return head;
  if (message->Header("transfer-encoding") == "chunked") {
    return ReadChunks(deadline, &message->body);
  }
  std::size_t length = 0;
  const std::string text = message->Header("content-length");
  if (!text.empty() && !absl::SimpleAtoi(text, &length)) {
    return ResponseEnd::kMalformed;
  }
  return ReadBytes(deadline, length, &message->body);
}

bool ConnectionServer::StartServing() {
  listener_ = ListenOnLoopback(&port_);
  if (!listener_.valid()) return false;
  accept_thread_ = std::thread([this] { Accept(); });
  return true;
}

void ConnectionServer::Accept() {
  while (!stopping_) {
    FileDescriptor socket(
        accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!socket.valid()) continue;
    const int on = 1;
    setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connections_.remove_if([](Connection& connection) {
      if (!connection.ended) return false;
      connection.thread.join();
      return true;
    });
    Connection& connection = connections_.emplace_back();
    connection.socket = std::move(socket);
    connection.thread =
        std::thread([this, &connection] { ServeConnection(&connection); });
  }
}

void ConnectionServer::ServeConnection(Connection* connection) {
  const int fd = connection->socket.get();
  HttpReader reader(fd);
  HttpMessage request;
  while (!stopping_ && reader.Read(absl::InfiniteFuture(), &request) ==
                           ResponseEnd::kComplete) {
    if (!HandleRequest(request, fd)) break;
  }
  shutdown(fd, SHUT_RDWR);
  connection->ended = true;
}

void ConnectionServer::StopServing() {
  if (!accept_thread_.joinable()) return;
  stopping_ = true;
  shutdown(listener_.get(), SHUT_RDWR);
  accept_thread_.join();
  // No connection is added from here on.
  for (Connection& connection : connections_) {
    shutdown(connection.socket.get(), SHUT_RDWR);
  }
  for (Connection& connection : connections_) connection.thread.join();
}

}  // namespace wisteriareel::soak
