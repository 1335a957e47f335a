#ifndef PAPAYARACK_COORDINATION_TEXTFETCH_H_
#define PAPAYARACK_COORDINATION_TEXTFETCH_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_set>
#include <vector>

#include "coordination/contentchunks.h"
#include "coordination/coordinationmessages.h"
#include "global/settings.h"
#include "global/timepoint.h"
#include "transport/peerclient.h"
#include "transport/peerdispatch.h"

namespace papayarack::coordination {

/// What a process can give of the text that it holds.
struct HeldText {
  std::string_view text;
  const ChunkIndex* index = nullptr;
};

/// Answers other processes' requests for chunks. `held` is asked at each
/// request. Precondition: `server` and what `held` refers to outlive
/// `dispatch`.
void ServeChunks(transport::PeerServer*& server,
                 transport::PeerDispatch& dispatch,
                 std::function<HeldText()> held);

/// Fetches a text from another process, part after part: one request at a time,
/// so that the sender never has more than one part of it waiting to be sent.
/// What was fetched stays when the source fails, and the next goes on from
/// there. Thread safety: none, the loop's thread.
class TextFetch {
 public:
  /// `text`: what was fetched; nothing where the source failed or lacks a part.
  using Done = std::function<void(std::optional<std::string> text)>;

  TextFetch(asio::io_context& context, transport::PeerClient& peers);
  ~TextFetch();
  TextFetch(const TextFetch&) = delete;
  TextFetch& operator=(const TextFetch&) = delete;

  /// Gives up what is under way and takes what is at hand for the text of
  /// `manifest`: chunks fetched before, `held` in full, `chunks`. Returns the
  /// text where that was all.
  std::optional<std::string> Prepare(TextManifest manifest,
                                     std::string_view held,
                                     std::span<const std::string> chunks);
  /// Fetches what is missing; `done` is called once unless the fetch is
  /// replaced. Precondition: Prepare was called and returned nothing.
  void Start(std::string source, Done done);

  /// Address of the process that is being asked; empty while none is.
  const std::string& source() const { return this->address; }
  const TextManifest& manifest() const { return this->assembly.manifest(); }
  std::uint64_t version() const { return this->manifest().version; }

 private:
  void AskPart();
  void OnPart(const std::string& message);
  void End(std::optional<std::string> text);

  transport::PeerClient& peers;
  TextAssembly assembly;
  std::string address;
  Endpoint endpoint;             ///< `address`, decoded.
  std::vector<ChunkName> asked;  ///< With the request under way.
  /// Hashes of chunks that the source was asked for and did not give.
  std::unordered_set<std::uint64_t> not_given;
  Done done;
  Time started{};
  Time deadline{};
  bool any_part = false;  ///< This source has given one.
  std::size_t bytes_at_start = 0;
  std::uint64_t round = 0;
  transport::CallId call = 0;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_TEXTFETCH_H_
