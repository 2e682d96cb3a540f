#include "review/standin/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 64 << 10;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Parses the lines before `end` into the start line and the headers.
bool ParseHead(const std::string& head, Message* message) {
  std::size_t begin = 0;
  bool first = true;
  while (begin < head.size()) {
    std::size_t end = head.find("\r\n", begin);
    if (end == std::string::npos) end = head.size();
    const std::string line = head.substr(begin, end - begin);
    begin = end + 2;
    if (first) {
      message->start_line = line;
      first = false;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message->headers.emplace_back(name, line.substr(value));
  }
  return !first;
}

}  // namespace

int Listen(std::uint16_t* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, kBacklog) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return -1;
  }
  *port = ntohs(address.sin_port);
  return fd;
}

std::uint16_t FreePort() {
  std::uint16_t port = 0;
  close(Listen(&port));
  return port;
}

int Connect(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::string Message::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return "";
}

std::string Message::Word(int index) const {
  std::size_t begin = 0;
  for (; index > 0; --index) {
    const std::size_t blank = start_line.find(' ', begin);
    if (blank == std::string::npos) return "";
    begin = blank + 1;
  }
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

bool MessageReader::Fill() {
  std::string bytes(kReadBytes, '\0');
  const ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
  if (n <= 0) return false;
  buffer_.append(bytes, 0, static_cast<std::size_t>(n));
  return true;
}

bool MessageReader::Read(Message* message) {
  *message = Message();
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) return false;
  }
  if (!ParseHead(buffer_.substr(0, end), message)) return false;
  buffer_.erase(0, end + 4);
  if (message->Header("transfer-encoding") == "chunked") {
    for (;;) {
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill()) return false;
      }
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill()) return false;
      }
      message->body.append(buffer_, end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  const std::size_t length =
      std::strtoul(message->Header("content-length").c_str(), nullptr, 10);
  while (buffer_.size() < length) {
    if (!Fill()) return false;
  }
  message->body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

ClientResponse ReadResponse(int fd, SteadyClock::time_point deadline) {
  ClientResponse response;
  std::string buffer;
  bool head_done = false;
  bool chunked = false;
  std::size_t length = 0;
  for (;;) {
    if (!head_done) {
      const std::size_t end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        head_done = ParseHead(buffer.substr(0, end), &response.message);
        response.status = std::atoi(response.message.Word(1).c_str());
        chunked = response.message.Header("transfer-encoding") == "chunked";
        length = std::strtoul(response.message.Header("content-length").c_str(),
                              nullptr, 10);
        buffer.erase(0, end + 4);
      }
    }
    if (head_done && !chunked && buffer.size() >= length) {
      response.message.body = buffer.substr(0, length);
      response.complete = true;
      return response;
    }
    while (head_done && chunked) {
      const std::size_t end = buffer.find("\r\n");
      if (end == std::string::npos) break;
      char* rest = nullptr;
      const std::size_t size = std::strtoul(buffer.c_str(), &rest, 16);
      if (rest != buffer.c_str() + end) {
        response.malformed = true;
        response.malformed_bytes = buffer.substr(0, 200);
        return response;
      }
      if (buffer.size() < end + 2 + size + 2) break;
      response.message.body.append(buffer, end + 2, size);
      buffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        response.complete = true;
        return response;
      }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - SteadyClock::now());
    pollfd entry{.fd = fd, .events = POLLIN, .revents = 0};
    if (left.count() <= 0 ||
        poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      return response;
    }
    std::string bytes(kReadBytes, '\0');
    const ssize_t n = recv(fd, bytes.data(), bytes.size(), 0);
    if (n <= 0) return response;
    buffer.append(bytes, 0, static_cast<std::size_t>(n));
  }
}

ClientResponse Call(std::uint16_t port, const std::string& request,
                    std::chrono::milliseconds timeout) {
  const int fd = Connect(port);
  if (fd < 0) return {};
  ClientResponse response;
  if (SendAll(fd, request)) {
    response = ReadResponse(fd, SteadyClock::now() + timeout);
  }
  close(fd);
  return response;
}

}  // namespace review
