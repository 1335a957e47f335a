#include "coordination/textfetch.h"

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "global/settings.h"
#include "global/transfertime.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {
namespace {

constexpr const char* kPath = "/coordination/chunks";
/// Size of one request. 64 KB take 17 ms on a link of 30 Mbit/s, the slowest;
/// the sender's other messages wait no longer than that behind a part.
constexpr std::size_t kPartBytes = 64U << 10U;
/// Upper bound of a reply, whatever was requested.
constexpr std::size_t kMaxPartBytes = 4 * kPartBytes;
/// Timeout of the first part. A source has already applied the text, so it need
/// not read anything; waiting longer for a stalled one would use up most of the
/// time in which the fetcher must apply the text.
constexpr std::chrono::milliseconds kFirstPartTime{500};
/// Timeout of each further part, from a source known to respond. Twenty times
/// what a part needs on a link shared by five.
constexpr std::chrono::milliseconds kPartTime{1500};
/// Timeout of all parts from one source; TransferTime is added. A source whose
/// parts each come just in time would take 10 s for 400 KB.
constexpr std::chrono::milliseconds kSourceTime{1500};

ChunksFound FindChunks(const LocalText& held, const ChunksWanted& wanted) {
  ChunksFound found;
  std::size_t bytes = 0;
  for (const ChunkName& chunk : wanted.chunks) {
    const auto part = held.index->Find(held.text, chunk.hash);
    if (part.has_value() && bytes + part->size() <= kMaxPartBytes) {
      bytes += part->size();
      found.chunks.emplace_back(*part);
    }
  }
  return found;
}

}  // namespace

void ServeChunks(transport::PeerServer*& server,
                 transport::PeerDispatch& dispatch,
                 std::function<LocalText()> held) {
  dispatch.On(kPath, [&server, held = std::move(held)](
                         transport::StreamId stream, const std::string& body) {
    const auto wanted = DecodeMessage<ChunksWanted>(body);
    server->Send(stream, EncodeMessage(FindChunks(held(), wanted)));
    server->Finish(stream);
  });
}

TextFetch::TextFetch(asio::io_context& context, transport::PeerClient& peers)
    : peers(peers), timer(context) {}

TextFetch::~TextFetch() { *this->alive = false; }

std::optional<std::string> TextFetch::Prepare(
    TextManifest manifest, std::string_view held,
    std::span<const std::string> chunks) {
  if (!this->address.empty()) {
    this->peers.Cancel(this->call);
    ++this->round;
    this->address.clear();
    this->timer.cancel();
  }
  this->assembly.Begin(std::move(manifest));
  this->assembly.TakeText(held);
  for (const std::string& chunk : chunks) {
    this->assembly.TakeChunk(chunk);
  }
  return this->assembly.Finish();
}

void TextFetch::Start(std::string source, Done when_done) {
  this->address = std::move(source);
  this->done = std::move(when_done);
  this->started = MonotonicNow();
  this->deadline =
      this->started + kSourceTime + TransferTime(this->assembly.MissingBytes());
  this->bytes_at_start = this->assembly.TakenBytes();
  this->not_given.clear();
  this->any_part = false;
  try {
    this->endpoint = ParseEndpoint(this->address, "source");
  } catch (const ResultError& error) {
    Log(LogLevel::kWarn, "configuration_source_unreadable",
        {{"address", this->address}, {"text", error.what()}});
    this->End(std::nullopt);
    return;
  }
  this->RequestPart();
}

void TextFetch::RequestPart() {
  const std::uint64_t number = ++this->round;
  const auto current = [this, number, alive = this->alive] {
    return *alive && this->round == number;
  };
  transport::CallHandlers handlers;
  handlers.on_message = [this, current](const std::string& message) {
    if (current()) {
      this->OnPart(message);
    }
  };
  handlers.on_end = [this, current](transport::CallEnd) {
    if (current()) {
      this->End(std::nullopt);
    }
  };
  this->asked = this->assembly.Missing(kPartBytes, this->not_given);
  const ChunksWanted wanted{this->asked};
  this->call = this->peers.Call(this->endpoint, kPath, EncodeMessage(wanted),
                                std::move(handlers));
  const Duration part_time = this->any_part ? kPartTime : kFirstPartTime;
  this->timer.expires_after(
      std::min<Duration>(part_time, this->deadline - MonotonicNow()));
  this->timer.async_wait([this, current](std::error_code error) {
    if (!error && current()) {
      this->peers.Cancel(this->call);
      this->End(std::nullopt);
    }
  });
}

/// Requests each chunk once from a source: one with another version may lack
/// the whole first part and still have nearly all of the rest.
void TextFetch::OnPart(const std::string& message) {
  this->any_part = true;
  try {
    for (std::string& chunk : DecodeMessage<ChunksFound>(message).chunks) {
      this->assembly.TakeChunk(std::move(chunk));
    }
  } catch (const ResultError& error) {
    Log(LogLevel::kWarn, "configuration_part_unreadable",
        {{"address", this->address}, {"text", error.what()}});
    this->End(std::nullopt);
    return;
  }
  for (const ChunkName& chunk : this->asked) {
    if (!this->assembly.Has(chunk.hash)) {
      this->not_given.insert(chunk.hash);
    }
  }
  if (this->assembly.MissingBytes() == 0) {
    this->End(this->assembly.Finish());
  } else if (this->assembly.Missing(kPartBytes, this->not_given).empty()) {
    this->End(std::nullopt);
  } else {
    this->RequestPart();
  }
}

void TextFetch::End(std::optional<std::string> text) {
  ++this->round;
  this->timer.cancel();
  Log(LogLevel::kInfo, "configuration_fetched",
      {{"address", this->address},
       {"config_version", this->version()},
       {"whole", text.has_value()},
       {"bytes", this->assembly.manifest().Bytes()},
       {"missing_bytes", text.has_value() ? 0 : this->assembly.MissingBytes()},
       {"had_bytes", this->bytes_at_start},
       {"took_ms", (MonotonicNow() - this->started).count() / 1000}});
  this->address.clear();
  const Done finished = std::exchange(this->done, {});
  finished(std::move(text));
}

}  // namespace papayarack::coordination
