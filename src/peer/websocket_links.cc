#include "src/peer/websocket_links.h"

#include <atomic>
#include <chrono>
#include <map>
#include <set>
#include <system_error>
#include <thread>
#include <type_traits>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>
#include <websocketpp/server.hpp>

namespace wisteriareel {
namespace {

namespace asio = websocketpp::lib::asio;

constexpr char kResource[] = "/peer/v1";
constexpr int kListenBacklog = 1024;
constexpr int kCloseTimeoutMs = 1000;

using PlainServer = websocketpp::server<websocketpp::config::asio>;
using PlainClient = websocketpp::client<websocketpp::config::asio_client>;
using TlsServer = websocketpp::server<websocketpp::config::asio_tls>;
using TlsClient = websocketpp::client<websocketpp::config::asio_tls_client>;
using TlsContext = std::shared_ptr<asio::ssl::context>;

// Reads the files into a context that requires a certificate from the peer.
// Returns null if they can't be read; the connection then fails.
TlsContext MakeTlsContext(const WebsocketLinksOptions& options) {
  try {
    auto context =
        std::make_shared<asio::ssl::context>(asio::ssl::context::tls);
    context->set_options(asio::ssl::context::default_workarounds |
                         asio::ssl::context::no_tlsv1 |
                         asio::ssl::context::no_tlsv1_1);
    context->use_certificate_chain_file(options.certificate_file);
    context->use_private_key_file(options.key_file, asio::ssl::context::pem);
    context->load_verify_file(options.ca_file);
    context->set_verify_mode(asio::ssl::verify_peer |
                             asio::ssl::verify_fail_if_no_peer_cert);
    return context;
  } catch (const std::exception&) {
    return nullptr;
  }
}

std::string Uri(bool tls, const std::string& host, std::uint16_t port) {
  const bool v6 = host.find(':') != std::string::npos;
  return std::string(tls ? "wss" : "ws") + "://" + (v6 ? "[" : "") + host +
         (v6 ? "]" : "") + ":" + std::to_string(port) + kResource;
}

template <typename Server, typename Client>
class WebsocketLinksImpl final : public WebsocketLinks {
 public:
  WebsocketLinksImpl(const WebsocketLinksOptions& options, LinkEvents* events)
      : options_(options), events_(events), timer_(io_), stop_timer_(io_) {}

  ~WebsocketLinksImpl() override { Stop(); }

  std::string Start() override {
    try {
      Prepare(&server_);
      Prepare(&client_);
      PrepareServer();
    } catch (const std::exception& error) {
      return error.what();
    }
    ScheduleTick();
    thread_ = std::thread([this] { io_.run(); });
    return "";
  }

  void Stop() override {
    if (!thread_.joinable()) return;
    asio::post(io_, [this] { CloseAll(); });
    thread_.join();
  }

  std::uint16_t port() const override { return port_; }

  void Post(std::function<void()> task) override {
    asio::post(io_, [this, task = std::move(task)] {
      if (!stopping_) task();
    });
  }

  LinkId Dial(const std::string& host, std::uint16_t port) override {
    const LinkId link = next_link_++;
    std::error_code ec;
    const auto connection = client_.get_connection(Uri(kTls, host, port), ec);
    if (ec) {
      asio::post(
          io_, [this, link, ec] { events_->OnLinkClosed(link, ec.message()); });
      return link;
    }
    client_links_[link] = connection->get_handle();
    links_by_client_handle_[connection->get_handle()] = link;
    connection->set_max_message_size(options_.initial_max_message_bytes);
    client_.connect(connection);
    return link;
  }

  bool Send(LinkId link, const std::string& bytes) override {
    return SendOn(&client_, client_links_, link, bytes) ||
           SendOn(&server_, server_links_, link, bytes);
  }

  void Close(LinkId link) override {
    CloseOn(&client_, client_links_, link);
    CloseOn(&server_, server_links_, link);
  }

  void RaiseMessageLimit(LinkId link, std::size_t bytes) override {
    RaiseLimitOn(&client_, client_links_, link, bytes);
    RaiseLimitOn(&server_, server_links_, link, bytes);
  }

 private:
  using Handle = websocketpp::connection_hdl;
  using Handles = std::map<LinkId, Handle>;
  using LinksByHandle =
      std::map<Handle, LinkId, std::owner_less<websocketpp::connection_hdl>>;

  static constexpr bool kTls = std::is_same_v<Server, TlsServer>;

  template <typename Endpoint>
  void Prepare(Endpoint* endpoint) {
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    endpoint->init_asio(&io_);
    endpoint->set_max_message_size(options_.initial_max_message_bytes);
    endpoint->set_open_handshake_timeout(options_.open_timeout_ms);
    endpoint->set_close_handshake_timeout(kCloseTimeoutMs);
    endpoint->set_tcp_post_init_handler([endpoint](Handle handle) {
      std::error_code ec;
      const auto connection = endpoint->get_con_from_hdl(handle, ec);
      if (ec) return;
      // Messages are small and infrequent, so Nagle's algorithm would only add
      // latency.
      boost::system::error_code ignored;
      connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                              ignored);
    });
    if constexpr (kTls) {
      endpoint->set_tls_init_handler(
          [this](const Handle&) { return MakeTlsContext(options_); });
    }
    LinksByHandle* links = LinksOfEndpoint(endpoint);
    endpoint->set_message_handler(
        [this, links](const Handle& handle,
                      typename Endpoint::message_ptr message) {
          const auto it = links->find(handle);
          if (it == links->end()) return;
          const std::string& bytes = message->get_payload();
          events_->OnLinkMessage(it->second, bytes);
        });
    endpoint->set_close_handler(
        [this, endpoint](Handle handle) { OnClosed(endpoint, handle); });
    endpoint->set_fail_handler(
        [this, endpoint](Handle handle) { OnClosed(endpoint, handle); });
  }

  void PrepareServer() {
    server_.set_reuse_addr(true);
    server_.set_listen_backlog(kListenBacklog);
    server_.set_validate_handler([this](const Handle&) {
      if (server_links_.size() < options_.max_accepted) return true;
      events_->OnLinkRefused();
      return false;
    });
    server_.set_open_handler([this](const Handle& handle) {
      const LinkId link = next_link_++;
      server_links_[link] = handle;
      links_by_server_handle_[handle] = link;
      events_->OnLinkOpen(link, /*accepted=*/true);
    });
    client_.set_open_handler([this](const Handle& handle) {
      const auto it = links_by_client_handle_.find(handle);
      if (it == links_by_client_handle_.end()) return;
      events_->OnLinkOpen(it->second, /*accepted=*/false);
    });
    server_.listen(asio::ip::tcp::endpoint(
        asio::ip::make_address(options_.host), options_.port));
    boost::system::error_code ec;
    port_ = server_.get_local_endpoint(ec).port();
    server_.start_accept();
  }

  LinksByHandle* LinksOfEndpoint(Client*) { return &links_by_client_handle_; }
  LinksByHandle* LinksOfEndpoint(Server*) { return &links_by_server_handle_; }
  Handles* HandlesOf(Client*) { return &client_links_; }
  Handles* HandlesOf(Server*) { return &server_links_; }

  template <typename Endpoint>
  void OnClosed(Endpoint* endpoint, Handle handle) {
    LinksByHandle* links = LinksOfEndpoint(endpoint);
    const auto it = links->find(handle);
    if (it == links->end()) return;
    const LinkId link = it->second;
    links->erase(it);
    HandlesOf(endpoint)->erase(link);
    std::error_code ec;
    const auto connection = endpoint->get_con_from_hdl(handle, ec);
    events_->OnLinkClosed(link, ec ? "closed" : connection->get_ec().message());
    if (stopping_) CancelWhenAllClosed();
  }

  template <typename Endpoint>
  bool SendOn(Endpoint* endpoint, const Handles& handles, LinkId link,
              const std::string& bytes) {
    const auto it = handles.find(link);
    if (it == handles.end()) return false;
    std::error_code ec;
    const auto connection = endpoint->get_con_from_hdl(it->second, ec);
    if (ec || connection->get_buffered_amount() + bytes.size() >
                  options_.max_unsent_bytes) {
      return false;
    }
    return !connection->send(bytes, websocketpp::frame::opcode::binary);
  }

  template <typename Endpoint>
  void CloseOn(Endpoint* endpoint, const Handles& handles, LinkId link) {
    const auto it = handles.find(link);
    if (it == handles.end()) return;
    const Handle handle = it->second;
    asio::post(io_, [endpoint, handle] {
      std::error_code ec;
      endpoint->close(handle, websocketpp::close::status::normal, "", ec);
      if (!ec) return;
      // The connection isn't open, so no closing handshake is possible.
      const auto connection = endpoint->get_con_from_hdl(handle, ec);
      if (!ec) connection->terminate(std::error_code());
    });
  }

  template <typename Endpoint>
  void RaiseLimitOn(Endpoint* endpoint, const Handles& handles, LinkId link,
                    std::size_t bytes) {
    const auto it = handles.find(link);
    if (it == handles.end()) return;
    std::error_code ec;
    const auto connection = endpoint->get_con_from_hdl(it->second, ec);
    if (!ec) connection->set_max_message_size(bytes);
  }

  void ScheduleTick() {
    const std::chrono::milliseconds tick{options_.tick_ms};
    timer_.expires_after(tick);
    timer_.async_wait([this](const boost::system::error_code& ec) {
      if (ec || stopping_) return;
      events_->OnTick();
      ScheduleTick();
    });
  }

  void CancelWhenAllClosed() {
    if (!client_links_.empty() || !server_links_.empty()) return;
    stop_timer_.cancel();
  }

  // The thread ends when no connection, timer or listener is left, or when
  // `stop_timer_` expires.
  void CloseAll() {
    stopping_ = true;
    timer_.cancel();
    // A connection that is still being established ends only by its own
    // timeout.
    stop_timer_.expires_after(std::chrono::milliseconds(2 * kCloseTimeoutMs));
    stop_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) io_.stop();
    });
    std::error_code ec;
    server_.stop_listening(ec);
    CancelWhenAllClosed();
    const Handles dialed = client_links_;
    for (const auto& [link, handle] : dialed) {
      CloseOn(&client_, client_links_, link);
    }
    const Handles accepted = server_links_;
    for (const auto& [link, handle] : accepted) {
      CloseOn(&server_, server_links_, link);
    }
  }

  const WebsocketLinksOptions options_;
  LinkEvents* const events_;
  asio::io_context io_;
  asio::steady_timer timer_;
  asio::steady_timer stop_timer_;
  Server server_;
  Client client_;
  // This member and those below are used only on the thread.
  bool stopping_ = false;
  LinkId next_link_ = 1;
  Handles client_links_;
  Handles server_links_;
  LinksByHandle links_by_client_handle_;
  LinksByHandle links_by_server_handle_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<WebsocketLinks> MakeWebsocketLinks(
    const WebsocketLinksOptions& options, LinkEvents* events) {
  if (options.certificate_file.empty()) {
    return std::make_unique<WebsocketLinksImpl<PlainServer, PlainClient>>(
        options, events);
  }
  return std::make_unique<WebsocketLinksImpl<TlsServer, TlsClient>>(options,
                                                                    events);
}

}  // namespace wisteriareel
