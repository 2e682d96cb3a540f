#ifndef WISTERIAREEL_SRC_PEER_WEBSOCKET_LINKS_H_
#define WISTERIAREEL_SRC_PEER_WEBSOCKET_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

// Websocket connections. websocketpp doesn't compile as C++20, so this header
// hides it from the rest of the program and requires only C++17.
namespace wisteriareel {

// Identifies a connection; never reused.
using LinkId = std::uint64_t;

struct WebsocketLinksOptions {
  // IP address and port to listen on; port 0 selects any free port.
  std::string host;
  std::uint16_t port = 0;
  // PEM files; empty for plain text. With TLS, both ends present a certificate
  // signed by a CA in `ca_file`. The files are read again for each connection.
  std::string certificate_file;
  std::string key_file;
  std::string ca_file;
  // Maximum number of concurrent accepted connections; further ones are
  // refused.
  std::size_t max_accepted = 0;
  // Maximum size of a message on a connection until RaiseMessageLimit is
  // called.
  std::size_t initial_max_message_bytes = 0;
  // Maximum number of unsent bytes buffered for one connection. Send fails
  // above it.
  std::size_t max_unsent_bytes = 0;
  // Timeout for connecting and for the websocket handshake.
  int open_timeout_ms = 0;
  // Interval between calls of OnTick.
  int tick_ms = 0;
};

// Receives the events of connections. All calls are made on the single thread
// of WebsocketLinks and must not block.
class LinkEvents {
 public:
  virtual ~LinkEvents() = default;

  virtual void OnLinkOpen(LinkId link, bool accepted) = 0;
  virtual void OnLinkMessage(LinkId link, std::string_view bytes) = 0;
  // The last call for a link, including a link that never opened. May be
  // omitted for links that are still open when Stop is called.
  virtual void OnLinkClosed(LinkId link, const std::string& why) = 0;
  // A connection was refused because `max_accepted` was reached.
  virtual void OnLinkRefused() = 0;
  virtual void OnTick() = 0;
};

// Connections to and from other instances. Owns one thread. Start and Stop
// are called by the owner; Post is thread-safe; all other functions are called
// only on the thread of this object.
class WebsocketLinks {
 public:
  virtual ~WebsocketLinks() = default;

  // Listens and starts the thread. Returns an empty string on success and an
  // error message on failure.
  virtual std::string Start() = 0;
  // Closes all connections and joins the thread. Idempotent.
  virtual void Stop() = 0;
  // Returns the bound port.
  virtual std::uint16_t port() const = 0;

  // Runs `task` on the thread. Tasks still pending at Stop are dropped.
  virtual void Post(std::function<void()> task) = 0;

  // Starts to connect. OnLinkOpen or OnLinkClosed is called later, never
  // within this call.
  virtual LinkId Dial(const std::string& host, std::uint16_t port) = 0;
  // Sends one message. Returns false if the link isn't open or has more than
  // `max_unsent_bytes` unsent.
  virtual bool Send(LinkId link, const std::string& bytes) = 0;
  // Closes a connection. OnLinkClosed is called later, never within this call.
  virtual void Close(LinkId link) = 0;
  // Sets the maximum size of a message on a connection to `bytes`.
  virtual void RaiseMessageLimit(LinkId link, std::size_t bytes) = 0;
};

// Returns an object that reports to `events`, which must outlive it.
std::unique_ptr<WebsocketLinks> MakeWebsocketLinks(
    const WebsocketLinksOptions& options, LinkEvents* events);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PEER_WEBSOCKET_LINKS_H_
