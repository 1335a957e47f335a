#include "http/httpclient.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "global/timepoint.h"
#include "http/internal/headparser.h"
#include "http/internal/wire.h"

namespace papayarack::http {
namespace {

constexpr std::size_t kReadChunk = 4096;
/// Interval of checks for connect and idle timeouts.
constexpr std::chrono::milliseconds kSweepInterval{100};
/// Subtracted from the idle timeout that a peer announces: the request must
/// arrive before the peer closes the connection.
constexpr std::chrono::milliseconds kIdleMargin{500};
/// A connection that has carried this many calls is closed, which bounds what
/// is remembered of each.
constexpr std::size_t kMaxCallsPerConnection = 1000;

/// `timeout=N` of a Keep-Alive header; nothing if there is none.
std::optional<std::chrono::milliseconds> AnnouncedIdleTimeout(
    const Headers& headers) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = headers.Get("Keep-Alive");
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view digits = value.substr(at + kName.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = ParseNumber(digits);
  if (!seconds.has_value()) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds);
}

}  // namespace

struct HttpClient::Impl {
  /// Connections that may carry the same calls. Those of calls without an
  /// identity are kept apart: such a response names no call, so a late copy of
  /// it would be taken for the response to any call.
  struct PoolKey {
    std::string address;
    bool identified = false;
    bool operator<(const PoolKey& other) const {
      return std::tie(this->address, this->identified) <
             std::tie(other.address, other.identified);
    }
  };

  struct Link {
    Link(asio::io_context& context, std::size_t max_head)
        : socket(context),
          parser(
              HeadParser::Kind::kResponse, max_head,
              {[this] { this->hooks.on_head(); },
               [this](std::string_view bytes) { this->hooks.on_body(bytes); },
               [] {}}) {}

    asio::ip::tcp::socket socket;
    HeadParser::Callbacks hooks;
    HeadParser parser;
    std::array<char, kReadChunk> chunk{};
    PoolKey pool;
    /// Hashes of the identities of all calls that it has carried.
    std::vector<std::size_t> carried;
    std::string request_head;  ///< Sent or being sent, as the body.
    std::string request_body;
    HttpCallId call = 0;  ///< Zero while idle.
    bool connected = false;
    bool sent_any = false;
    bool sending = false;   ///< Not all of the request is sent.
    bool is_head = false;   ///< The call's method is HEAD.
    bool skipping = false;  ///< Skipping a response to another call.
    bool reading = false;
    bool paused = false;
    std::size_t skipped_bytes = 0;  ///< Of responses to other calls.
    std::size_t interim_bytes = 0;
    std::size_t body_bytes = 0;  ///< Of the response to the call.
    Time since{};                ///< Start of connecting, or of being idle.
    std::chrono::milliseconds idle_limit{0};
  };
  using LinkPtr = std::shared_ptr<Link>;
  struct Pending {
    HttpCallHandlers handlers;
    Header identity;
    std::size_t max_body_bytes = 0;
    LinkPtr link;
  };

  Impl(asio::io_context& context, HttpClientOptions options)
      : context(context), options(options), sweep(context) {
    this->Sweep();
  }

  ~Impl() {
    *this->alive = false;
    for (auto& [id, call] : this->calls) {
      Close(*call.link);
    }
    for (auto& [pool, links] : this->idle) {
      for (const LinkPtr& link : links) {
        Close(*link);
      }
    }
  }

  static void Close(Link& link) {
    std::error_code ignored;
    link.socket.close(ignored);
  }

  static std::size_t HashOf(const Header& identity) {
    return std::hash<std::string>()(identity.value);
  }

  static void DropUnusable(std::vector<LinkPtr>& links, Time now) {
    std::erase_if(links, [now](const LinkPtr& link) {
      const bool usable =
          link->socket.is_open() && now - link->since < link->idle_limit;
      if (!usable) {
        Close(*link);
      }
      return !usable;
    });
  }

  /// Takes a connection that has not carried a call with the same identity. A
  /// faulty peer may send a response twice, the second copy late; where the
  /// same request is sent again on that connection, the copy would be taken for
  /// the new response, and a request that runs for one that was refused.
  LinkPtr TakeIdle(const PoolKey& pool, const Header& identity) {
    const auto found = this->idle.find(pool);
    if (found == this->idle.end()) {
      return nullptr;
    }
    std::vector<LinkPtr>& links = found->second;
    DropUnusable(links, MonotonicNow());
    const std::size_t hash = HashOf(identity);
    // The connection used last is least likely to have been closed by the peer.
    const auto last =
        std::find_if(links.rbegin(), links.rend(), [&](const LinkPtr& link) {
          return !pool.identified ||
                 std::ranges::find(link->carried, hash) == link->carried.end();
        });
    if (last == links.rend()) {
      return nullptr;
    }
    LinkPtr link = *last;
    links.erase(std::next(last).base());
    return link;
  }

  HttpCallId Start(HttpCall call, HttpCallHandlers handlers) {
    const HttpCallId id = ++this->last_call;
    const PoolKey pool{call.peer.ToString(), !call.identity.name.empty()};
    LinkPtr link = call.reuse ? this->TakeIdle(pool, call.identity) : nullptr;
    const bool reused = link != nullptr;
    if (!reused) {
      link =
          std::make_shared<Link>(this->context, this->options.max_head_bytes);
      link->pool = pool;
    }
    link->carried.push_back(HashOf(call.identity));
    link->call = id;
    link->sent_any = false;
    link->paused = false;
    link->skipped_bytes = 0;
    link->interim_bytes = 0;
    link->body_bytes = 0;
    link->is_head = call.method == "HEAD";
    link->request_head = RequestHead(call);
    link->request_body = std::move(call.body);
    this->Attach(link);
    this->calls.emplace(id,
                        Pending{std::move(handlers), std::move(call.identity),
                                call.max_body_bytes, link});
    PrepareParser(*link);
    if (reused) {
      this->SendRequest(link);
    } else {
      this->Connect(link, call.peer);
    }
    return id;
  }

  /// For the next response.
  static void PrepareParser(Link& link) {
    link.parser.Next();
    if (link.is_head) {
      link.parser.ExpectNoBody();
    }
  }

  static std::string RequestHead(const HttpCall& call) {
    std::string bytes =
        fmt::format("{} {} HTTP/1.1\r\n", call.method, call.target);
    AppendFields(bytes, call.headers);
    if (!call.headers.Has("Host")) {
      bytes += fmt::format("Host: {}\r\n", call.peer.ToString());
    }
    if (!call.body.empty() || call.method != "GET") {
      bytes += fmt::format("Content-Length: {}\r\n", call.body.size());
    }
    bytes += "\r\n";
    return bytes;
  }

  void Attach(const LinkPtr& link) {
    Link* raw = link.get();
    link->hooks.on_head = [this, raw] { this->OnHead(*raw); };
    link->hooks.on_body = [this, raw](std::string_view bytes) {
      const auto found = this->calls.find(raw->call);
      if (found == this->calls.end() || raw->skipping) {
        return;
      }
      raw->body_bytes += bytes.size();
      if (raw->body_bytes <= found->second.max_body_bytes) {
        found->second.handlers.on_body(bytes);
      }
    };
  }

  /// Whether the peer sent more than the call or the client accepts.
  bool OverLimit(const Link& link) const {
    const auto found = this->calls.find(link.call);
    return found != this->calls.end() &&
           (link.skipped_bytes > this->options.max_skipped_bytes ||
            link.interim_bytes > this->options.max_head_bytes ||
            link.body_bytes > found->second.max_body_bytes);
  }

  void Connect(const LinkPtr& link, const Endpoint& peer) {
    link->since = MonotonicNow();
    std::error_code bad;
    const asio::ip::address address = asio::ip::make_address(peer.host, bad);
    if (bad) {
      asio::post(this->context, [this, link, alive = this->alive] {
        if (*alive) {
          this->End(link, HttpEnd::kNotSent);
        }
      });
      return;
    }
    ++this->connections_made;
    link->socket.async_connect(
        {address, peer.port},
        [this, link, alive = this->alive](std::error_code error) {
          if (!*alive || link->call == 0) {
            return;
          }
          if (error) {
            this->End(link, HttpEnd::kNotSent);
            return;
          }
          link->connected = true;
          std::error_code ignored;
          link->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
          this->SendRequest(link);
          this->Read(link);
        });
  }

  void SendRequest(const LinkPtr& link) {
    link->sent_any = true;
    link->sending = true;
    const std::array<asio::const_buffer, 2> parts = {
        asio::buffer(link->request_head), asio::buffer(link->request_body)};
    asio::async_write(link->socket, parts,
                      [link](std::error_code error, std::size_t) {
                        // Read handles the error: the read fails as well, after
                        // it has returned any response that the peer sent
                        // before.
                        link->sending = static_cast<bool>(error);
                        link->request_body = {};
                      });
  }

  void Read(const LinkPtr& link) {
    if (link->reading || link->paused) {
      return;
    }
    link->reading = true;
    link->socket.async_read_some(
        asio::buffer(link->chunk),
        [this, link, alive = this->alive](std::error_code error,
                                          std::size_t length) {
          if (!*alive) {
            return;
          }
          link->reading = false;
          if (link->call == 0) {
            this->CloseIdleLink(link);
            return;
          }
          if (error) {
            this->OnEnd(link, error == asio::error::eof);
            return;
          }
          this->OnBytes(link, {link->chunk.data(), length});
        });
  }

  void OnHead(Link& link) {
    const auto found = this->calls.find(link.call);
    if (found == this->calls.end()) {
      return;
    }
    const Header& identity = found->second.identity;
    const auto named = link.parser.headers.Find(identity.name);
    // Prevents a caller from getting the response to another call: if a faulty
    // peer answers a request twice on a pooled connection, the second response
    // arrives where that of the next call is expected. The identity header
    // tells them apart.
    link.skipping =
        !identity.name.empty() && named.has_value() && *named != identity.value;
    if (link.skipping || link.parser.status() / 100 == 1) {
      return;
    }
    found->second.handlers.on_head({link.parser.status(), link.parser.headers});
  }

  void OnBytes(const LinkPtr& link, std::string_view bytes) {
    while (!bytes.empty() && link->call != 0) {
      const HttpCallId call = link->call;
      const std::size_t used = link->parser.Parse(bytes);
      const bool interim = link->parser.status() / 100 == 1;
      link->interim_bytes += interim ? used : 0;
      link->skipped_bytes += link->skipping ? used : 0;
      bytes.remove_prefix(std::min(used, bytes.size()));
      if (link->call != call) {
        return;  // Cancelled by a handler.
      }
      if (link->parser.failed() || this->OverLimit(*link)) {
        this->End(link, HttpEnd::kMalformed);
        return;
      }
      if (link->parser.MessageComplete() && this->OnMessage(link, bytes)) {
        return;
      }
    }
    if (link->call != 0) {
      this->Read(link);
    }
  }

  /// Returns true when the call is complete.
  bool OnMessage(const LinkPtr& link, std::string_view rest) {
    const bool interim = link->parser.status() / 100 == 1;
    if (link->skipping || interim) {
      link->skipping = false;
      PrepareParser(*link);
      return false;
    }
    // A peer may respond before it has read the whole request. On such a
    // connection it would take the next request for the rest of this one.
    const bool keep =
        link->parser.KeepAlive() && rest.empty() && !link->sending;
    this->Complete(link, keep);
    return true;
  }

  void Complete(const LinkPtr& link, bool keep) {
    const auto found = this->calls.find(link->call);
    const auto on_end = std::move(found->second.handlers.on_end);
    this->calls.erase(found);
    link->call = 0;
    if (keep) {
      this->AddIdle(link);
    } else {
      Close(*link);
    }
    on_end(HttpEnd::kComplete);
  }

  void AddIdle(const LinkPtr& link) {
    auto& links = this->idle[link->pool];
    if (links.size() >= this->options.max_idle_per_peer ||
        link->carried.size() >= kMaxCallsPerConnection) {
      Close(*link);
      return;
    }
    link->since = MonotonicNow();
    link->paused = false;
    link->request_head.clear();
    link->idle_limit = this->options.max_idle;
    if (const auto announced = AnnouncedIdleTimeout(link->parser.headers)) {
      link->idle_limit = std::min(link->idle_limit, *announced - kIdleMargin);
    }
    links.push_back(link);
    // A pending read notices when the peer closes the connection or sends
    // unexpected data; either way it is not reused.
    this->Read(link);
  }

  void CloseIdleLink(const LinkPtr& link) {
    Close(*link);
    const auto found = this->idle.find(link->pool);
    if (found != this->idle.end()) {
      std::erase(found->second, link);
    }
  }

  void OnEnd(const LinkPtr& link, bool orderly) {
    // A write that fails takes the error of a reset with it; the read then sees
    // an orderly end, where the response was cut.
    const bool whole_request_sent = !link->sending;
    if (orderly && whole_request_sent && link->parser.HeadComplete() &&
        !link->skipping && link->parser.RunsToConnectionEnd()) {
      link->parser.ParseEnd();
      if (link->parser.MessageComplete()) {
        this->Complete(link, false);
        return;
      }
    }
    this->End(link, link->sent_any ? HttpEnd::kBroken : HttpEnd::kNotSent);
  }

  void End(const LinkPtr& link, HttpEnd end) {
    const auto found = this->calls.find(link->call);
    link->call = 0;
    Close(*link);
    if (found == this->calls.end()) {
      return;
    }
    const auto on_end = std::move(found->second.handlers.on_end);
    this->calls.erase(found);
    on_end(end);
  }

  void Cancel(HttpCallId id) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    const LinkPtr link = found->second.link;
    this->calls.erase(found);
    link->call = 0;
    Close(*link);
  }

  void Pause(HttpCallId id) {
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
      found->second.link->paused = true;
    }
  }

  void Resume(HttpCallId id) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    const LinkPtr link = found->second.link;
    if (std::exchange(link->paused, false) && link->connected) {
      this->Read(link);
    }
  }

  void CloseIdle(const std::string& address) {
    for (const bool identified : {false, true}) {
      const auto links = this->idle.extract(PoolKey{address, identified});
      if (links.empty()) {
        continue;
      }
      for (const LinkPtr& link : links.mapped()) {
        Close(*link);
      }
    }
  }

  void Sweep() {
    this->sweep.expires_after(kSweepInterval);
    this->sweep.async_wait([this, alive = this->alive](std::error_code error) {
      if (!error && *alive) {
        this->FailSlowConnects();
        this->CloseExpiredIdle();
        this->Sweep();
      }
    });
  }

  void FailSlowConnects() {
    const Time now = MonotonicNow();
    std::vector<LinkPtr> slow;
    for (const auto& [id, call] : this->calls) {
      if (!call.link->connected &&
          now - call.link->since >= this->options.connect_timeout) {
        slow.push_back(call.link);
      }
    }
    for (const LinkPtr& link : slow) {
      this->End(link, HttpEnd::kNotSent);
    }
  }

  void CloseExpiredIdle() {
    const Time now = MonotonicNow();
    for (auto& [pool, links] : this->idle) {
      DropUnusable(links, now);
    }
    std::erase_if(this->idle,
                  [](const auto& entry) { return entry.second.empty(); });
  }

  asio::io_context& context;
  HttpClientOptions options;
  asio::steady_timer sweep;
  std::unordered_map<HttpCallId, Pending> calls;
  std::map<PoolKey, std::vector<LinkPtr>> idle;
  HttpCallId last_call = 0;
  std::uint64_t connections_made = 0;
  /// False after destruction, for completion handlers still queued on the loop.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

HttpClient::HttpClient(asio::io_context& context, HttpClientOptions options)
    : impl(std::make_unique<Impl>(context, options)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Call(HttpCall call, HttpCallHandlers handlers) {
  return this->impl->Start(std::move(call), std::move(handlers));
}

void HttpClient::Cancel(HttpCallId call) { this->impl->Cancel(call); }

void HttpClient::Pause(HttpCallId call) { this->impl->Pause(call); }

void HttpClient::Resume(HttpCallId call) { this->impl->Resume(call); }

void HttpClient::CloseIdle(const Endpoint& peer) {
  this->impl->CloseIdle(peer.ToString());
}

std::uint64_t HttpClient::ConnectionsMade() const {
  return this->impl->connections_made;
}

}  // namespace papayarack::http
