#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/contentchunks.h"
#include "coordination/coordinationmessages.h"
#include "coordination/tests/routestext.h"
#include "coordination/textfetch.h"
#include "global/hash.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {
namespace {

/// A process on the loopback interface that serves chunks of a text for some
/// number of requests, and records the requests.
class Source {
 public:
  enum class Behaviour { kServes, kEnds, kSilent };

  Source(asio::io_context& context, std::string text)
      : text(std::move(text)),
        index(SplitText(1, this->text)),
        server(context, {"127.0.0.1", 0}, this->dispatch.For(this->target)) {
    this->target = &this->server;
    this->dispatch.On("/coordination/chunks", [this](transport::StreamId stream,
                                                     const std::string& body) {
      this->Answer(stream, DecodeMessage<ChunksWanted>(body));
    });
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

  std::string text;
  ChunkIndex index;
  std::size_t answers = SIZE_MAX;  ///< Number of replies before `then`.
  Behaviour then = Behaviour::kServes;
  std::vector<std::uint64_t> asked;  ///< Hashes, of all requests.
  std::set<std::uint64_t> given;     ///< Hashes.
  std::size_t largest_request = 0;   ///< Bytes.

 private:
  void Answer(transport::StreamId stream, const ChunksWanted& wanted) {
    std::size_t bytes = 0;
    ChunksFound found;
    for (const ChunkName& chunk : wanted.chunks) {
      this->asked.push_back(chunk.hash);
      bytes += chunk.size;
      const auto part = this->index.Find(this->text, chunk.hash);
      if (part.has_value()) {
        found.chunks.emplace_back(*part);
      }
    }
    this->largest_request = std::max(this->largest_request, bytes);
    const Behaviour behaviour =
        this->answers > 0 ? Behaviour::kServes : this->then;
    this->answers -= this->answers > 0 ? 1 : 0;
    if (behaviour == Behaviour::kSilent) {
      return;
    }
    if (behaviour == Behaviour::kServes) {
      for (const std::string& chunk : found.chunks) {
        this->given.insert(Hash64(chunk));
      }
      this->server.Send(stream, EncodeMessage(found));
    }
    this->server.Finish(stream);
  }

  transport::PeerDispatch dispatch;
  transport::PeerServer* target = nullptr;
  transport::PeerServer server;
};

struct Fetched {
  bool done = false;
  std::optional<std::string> text;
  Duration took{};
};

Fetched FetchAndRun(asio::io_context& context, TextFetch& fetch,
                    std::string source) {
  Fetched fetched;
  const Time start = MonotonicNow();
  fetch.Start(std::move(source), [&](std::optional<std::string> text) {
    CHECK_FALSE(fetched.done);
    fetched = {true, std::move(text), MonotonicNow() - start};
  });
  for (int i = 0; i < 1000 && !fetched.done; ++i) {
    context.run_for(std::chrono::milliseconds(10));
    context.restart();
  }
  REQUIRE(fetched.done);
  CHECK(fetch.source().empty());
  return fetched;
}

}  // namespace

TEST_CASE("a text is fetched from other processes") {
  constexpr std::size_t kBytes = 400'000;
  constexpr std::size_t kPart = 64U << 10U;
  asio::io_context context;
  const std::string text = RoutesText(kBytes, 8);
  const TextManifest manifest = SplitText(2, text);
  Source first(context, text);
  Source second(context, text);
  transport::PeerClient peers(context);
  TextFetch fetch(context, peers);
  REQUIRE_FALSE(fetch.Prepare(manifest, "", {}).has_value());

  SECTION("in parts") {
    const Fetched fetched = FetchAndRun(context, fetch, first.Address());
    CHECK(fetched.text == text);
    CHECK(first.asked.size() == manifest.chunks.size());
    CHECK(first.largest_request <= kPart);
  }
  SECTION("and the next source continues after one died") {
    constexpr std::size_t kAnswers = 3;
    first.answers = kAnswers;
    first.then = Source::Behaviour::kEnds;
    CHECK_FALSE(FetchAndRun(context, fetch, first.Address()).text.has_value());
    // As after the leader's next reply, which offers the same text.
    REQUIRE_FALSE(fetch.Prepare(manifest, "", {}).has_value());
    const Fetched fetched = FetchAndRun(context, fetch, second.Address());
    CHECK(fetched.text == text);
    // Chunks from the first source are not requested again.
    CHECK(first.given.size() > manifest.chunks.size() / 3);
    CHECK(second.asked.size() == manifest.chunks.size() - first.given.size());
    CHECK(std::ranges::none_of(second.asked, [&](std::uint64_t hash) {
      return first.given.count(hash) > 0;
    }));
  }
  SECTION("and a source that sends nothing is given up") {
    first.answers = 0;
    first.then = Source::Behaviour::kSilent;
    const Fetched fetched = FetchAndRun(context, fetch, first.Address());
    CHECK_FALSE(fetched.text.has_value());
    CHECK(fetched.took >= std::chrono::milliseconds(500));
    CHECK(fetched.took < std::chrono::milliseconds(1000));
  }
  SECTION("and a source that sent a part has more time for the rest") {
    first.answers = 1;
    first.then = Source::Behaviour::kSilent;
    const Fetched fetched = FetchAndRun(context, fetch, first.Address());
    CHECK_FALSE(fetched.text.has_value());
    CHECK(fetched.took >= std::chrono::milliseconds(1500));
    CHECK(fetched.took < std::chrono::milliseconds(2500));
  }
  SECTION("and an unreachable source is given up") {
    const Fetched fetched = FetchAndRun(context, fetch, "127.0.0.1:1");
    CHECK_FALSE(fetched.text.has_value());
    CHECK(fetched.took < std::chrono::milliseconds(2500));
  }
  SECTION("and a source with another version serves common chunks") {
    std::string other = text;
    other.insert(kBytes / 2, "a route more");
    Source older(context, other);
    CHECK_FALSE(FetchAndRun(context, fetch, older.Address()).text.has_value());
    REQUIRE_FALSE(fetch.Prepare(manifest, "", {}).has_value());
    CHECK(FetchAndRun(context, fetch, second.Address()).text == text);
    CHECK(second.asked.size() <= 3);
  }
  // Guards against a source with nearly all of the text that serves nothing.
  // The first 64 KB are new and are requested first; a reply without chunks
  // must not end the fetch.
  SECTION("and a source that lacks the first part serves the rest") {
    const std::string other = RoutesText(2 * kPart, 9) + text.substr(2 * kPart);
    Source older(context, other);
    CHECK_FALSE(FetchAndRun(context, fetch, older.Address()).text.has_value());
    CHECK(older.given.size() > manifest.chunks.size() / 2);
    // Chunks that it lacks are requested once.
    CHECK(older.asked.size() == manifest.chunks.size());
    REQUIRE_FALSE(fetch.Prepare(manifest, "", {}).has_value());
    CHECK(FetchAndRun(context, fetch, second.Address()).text == text);
  }
  SECTION("unless the available chunks complete it") {
    CHECK(fetch.Prepare(manifest, text, {}) == text);
  }
  SECTION("and a digest mismatch ends the fetch once") {
    TextManifest wrong = manifest;
    ++wrong.digest;
    REQUIRE_FALSE(fetch.Prepare(wrong, "", {}).has_value());
    CHECK_FALSE(FetchAndRun(context, fetch, first.Address()).text.has_value());
    CHECK(first.asked.size() == manifest.chunks.size());
  }
  SECTION("and a newer text replaces a running fetch") {
    bool called = false;
    fetch.Start(first.Address(),
                [&](const std::optional<std::string>&) { called = true; });
    const std::string newer = text + "a route more";
    Source newest(context, newer);
    REQUIRE_FALSE(fetch.Prepare(SplitText(3, newer), "", {}).has_value());
    CHECK(fetch.source().empty());
    CHECK(FetchAndRun(context, fetch, newest.Address()).text == newer);
    CHECK(fetch.version() == 3);
    CHECK_FALSE(called);
  }
}

}  // namespace papayarack::coordination
