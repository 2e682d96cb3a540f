#ifndef WISTERIAREEL_SRC_PEER_WEBSOCKET_LINKS_H_
#define WISTERIAREEL_SRC_PEER_WEBSOCKET_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

// Websocket connections, hidden from the rest of the program because
// websocketpp can't be built as C++20. This header needs C++17 only.
namespace wisteriareel {

// Names a connection; never reused.
using LinkId = std::uint64_t;

struct WebsocketLinksOptions {
  // IP number and port to listen on; port 0 takes any free one.
  std::string host;
  std::uint16_t port = 0;
  // PEM files; empty for plain text. With TLS both ends show a certificate
  // that comes from `ca_file`. Files are read anew for each connection.
  std::string certificate_file;
  std::string key_file;
  std::string ca_file;
  // Connections from others at once; further ones are refused.
  std::size_t max_accepted = 0;
  // Largest message of a connection until RaiseMessageLimit.
  std::size_t initial_max_message_bytes = 0;
  // Bytes that wait to be sent on one connection before Send refuses more.
  std::size_t max_unsent_bytes = 0;
  // Longest time for connecting and for the websocket handshake.
  int open_timeout_ms = 0;
  // How often OnTick is called.
  int tick_ms = 0;
};

// Receives what happens on connections. All calls come from the one thread of
// the links and must not block.
class LinkEvents {
 public:
  virtual ~LinkEvents() = default;

  virtual void OnLinkOpen(LinkId link, bool accepted) = 0;
  virtual void OnLinkMessage(LinkId link, std::string_view bytes) = 0;
  // Last call for a link, also for one that never opened. May be missing for
  // links that are left when the links are stopped.
  virtual void OnLinkClosed(LinkId link, const std::string& why) = 0;
  // A connection over the limit was refused.
  virtual void OnLinkRefused() = 0;
  virtual void OnTick() = 0;
};

// Connections to and from other instances. Owns one thread. Start and Stop
// are called by its owner; Post is thread-safe; all else is called on the
// links' thread only.
class WebsocketLinks {
 public:
  virtual ~WebsocketLinks() = default;

  // Listens and starts the thread. Returns an empty text, or why it failed.
  virtual std::string Start() = 0;
  // Closes all connections and ends the thread. Idempotent.
  virtual void Stop() = 0;
  // Returns the bound port.
  virtual std::uint16_t port() const = 0;

  // Runs `task` on the thread. Tasks left at Stop are dropped.
  virtual void Post(std::function<void()> task) = 0;

  // Connects. OnLinkOpen or OnLinkClosed follows, never within the call.
  virtual LinkId Dial(const std::string& host, std::uint16_t port) = 0;
  // Sends one message. Returns false if too much waits to be sent.
  virtual bool Send(LinkId link, const std::string& bytes) = 0;
  // Closes a connection. OnLinkClosed follows, never within the call.
  virtual void Close(LinkId link) = 0;
  // Allows messages of up to `bytes` on a connection.
  virtual void RaiseMessageLimit(LinkId link, std::size_t bytes) = 0;
};

// Returns links that report to `events`, which must outlive them.
std::unique_ptr<WebsocketLinks> MakeWebsocketLinks(
    const WebsocketLinksOptions& options, LinkEvents* events);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PEER_WEBSOCKET_LINKS_H_
