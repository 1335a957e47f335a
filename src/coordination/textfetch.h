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

/// The text that a process holds, for serving its chunks.
struct LocalText {
  std::string_view text;
  const ChunkIndex* index = nullptr;
};

/// Serves chunks to other processes. Calls `held` at each request.
/// Precondition: `server` and everything that `held` refers to outlive
/// `dispatch`.
void ServeChunks(transport::PeerServer*& server,
                 transport::PeerDispatch& dispatch,
                 std::function<LocalText()> held);

/// Fetches a text from another process in parts, one request at a time, so that
/// the sender never has more than one part queued. Chunks are kept when the
/// source fails, and the next fetch continues from there. Thread safety: none,
/// the loop's thread.
class TextFetch {
 public:
  /// `text`: the fetched text; nullopt if the source failed or lacks a part.
  using Done = std::function<void(std::optional<std::string> text)>;

  TextFetch(asio::io_context& context, transport::PeerClient& peers);
  ~TextFetch();
  TextFetch(const TextFetch&) = delete;
  TextFetch& operator=(const TextFetch&) = delete;

  /// Cancels any running fetch and collects the available chunks of the text of
  /// `manifest`: those fetched before, those of `held`, and `chunks`. Returns
  /// the text if that is complete.
  std::optional<std::string> Prepare(TextManifest manifest,
                                     std::string_view held,
                                     std::span<const std::string> chunks);
  /// Fetches the missing chunks. `done` is called once unless another Prepare
  /// replaces the fetch. Precondition: Prepare was called and returned nullopt.
  void Start(std::string source, Done done);

  /// Address of the source; empty if no fetch is running.
  const std::string& source() const { return this->address; }
  const TextManifest& manifest() const { return this->assembly.manifest(); }
  std::uint64_t version() const { return this->manifest().version; }

 private:
  void RequestPart();
  void OnPart(const std::string& message);
  void End(std::optional<std::string> text);

  transport::PeerClient& peers;
  TextAssembly assembly;
  std::string address;
  Endpoint endpoint;             ///< `address`, parsed.
  std::vector<ChunkName> asked;  ///< By the pending request.
  /// Hashes of chunks that the source was asked for and did not send.
  std::unordered_set<std::uint64_t> not_given;
  Done done;
  Time started{};
  Time deadline{};
  bool any_part = false;  ///< This source has sent a part.
  std::size_t bytes_at_start = 0;
  std::uint64_t round = 0;
  transport::CallId call = 0;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_TEXTFETCH_H_
