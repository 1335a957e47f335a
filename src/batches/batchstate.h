#ifndef PAPAYARACK_BATCHES_BATCHSTATE_H_
#define PAPAYARACK_BATCHES_BATCHSTATE_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "batches/batchmessages.h"
#include "batches/listedbodies.h"
#include "batches/resulttexts.h"
#include "global/resultcode.h"

namespace papayarack::batches {

/// A command in the job group's log. New alternatives may only be added at the
/// end.
using BatchCommand = std::variant<SubmitBatch, ReportOutcomes, EndBatch,
                                  ForgetBatches, DropListedBodies>;

/// The answer to one command.
struct BatchReply {
  int code = 0;
  MSGPACK_DEFINE(code)
};

/// All batches, their items and results: the replicated state of the job group.
/// An item gets at most one result, and a recorded result never changes. Thread
/// safety: none.
class BatchState {
 public:
  struct Item {
    ItemSpec spec;
    bool has_result = false;
    std::uint32_t failures = 0;
    /// Ids of the runs counted in `failures`; zero for a run without an id.
    std::vector<std::uint64_t> failed_runs;
    MSGPACK_DEFINE(spec, has_result, failures, failed_runs)
  };
  /// A recorded result; its text is stored in ResultTexts.
  struct RecordedResult {
    std::string id;
    bool complete = false;  ///< False if the item was given up.
    TextRef text;
    MSGPACK_DEFINE(id, complete, text)
  };
  struct Batch {
    std::string host;
    std::string route_key;
    std::int64_t submitted_ms = 0;
    bool ended = false;
    std::vector<Item> items;
    /// In the order in which they were recorded.
    std::vector<RecordedResult> results;
    std::string organisation;  ///< Empty: submitted anonymously.
    /// Version of the configuration that allowed it; zero: unknown.
    std::uint64_t config_version = 0;
    /// Positions in `items`, sorted by item id; not saved.
    std::vector<std::uint32_t> by_id;
    MSGPACK_DEFINE(host, route_key, submitted_ms, ended, items, results,
                   organisation, config_version)

    /// Whether callers of `caller`, an organisation, may know of it.
    bool VisibleTo(std::string_view caller) const {
      return this->organisation.empty() || this->organisation == caller;
    }
    /// Whether the batch may be one that its caller has submitted before.
    bool MayBeCopy(const SubmitBatch& submitted) const;
    bool Open() const {
      return !this->ended && this->results.size() < this->items.size();
    }
    /// Builds `by_id`. Call once `items` is complete.
    void IndexItems();
    /// Position of the first item with that id. Precondition: IndexItems was
    /// called.
    std::optional<std::size_t> PositionOf(std::string_view id) const;
    std::string_view IdAt(std::uint32_t position) const;

   private:
    bool HasItems(std::span<const ItemSpec> specs) const;
  };
  /// Batches and items whose state was changed by commands.
  struct Changes {
    std::vector<std::string> batches;  ///< Submitted or ended.
    /// A result was recorded or an attempt failed.
    std::vector<ItemRef> items;
  };

  /// Precondition: `files` outlives this object.
  explicit BatchState(storage::FileSystem& files) : texts(files) {}

  /// Applies one committed command; a malformed one changes nothing.
  BatchReply Apply(std::string_view command);
  /// Serialises the state without the result texts, which ArchiveTexts moves to
  /// files.
  std::string Save() const;
  /// Restores a state from Save. Throws ResultError(kProtocol) on malformed
  /// bytes, and kStorageDamaged when result texts are missing in the files.
  void Load(std::string_view bytes);
  /// See ResultTexts::Archive. Call right after the Save that it belongs to.
  std::function<void()> ArchiveTexts() { return this->texts.Archive(); }
  void TextsArchived() { this->texts.Archived(); }
  /// Serialises the state with all result texts, for another member.
  std::string Export() const;
  /// Replaces this state by that of another member's Export, and stores its
  /// result texts in files; returns the bytes for Load, as of Save. Throws
  /// ResultError(kProtocol), without any change, on malformed bytes and if the
  /// texts do not fit the state.
  std::string Import(std::string exported);

  const Batch* Find(const std::string& id) const;
  const Item* FindItem(const ItemRef& ref) const;
  /// Whether the item may run: accepted, without a result, and its batch not
  /// ended.
  bool IsWaiting(const ItemRef& ref) const;
  /// Body of an item that may run or was listed lately; null if there is none.
  /// Valid until the next command.
  const std::string* BodyOf(const ItemRef& ref) const;
  const ListedBodies& listed_bodies() const { return this->bodies; }
  /// Every item that may run, oldest batch first.
  std::vector<ItemRef> WaitingItems() const;
  /// Tokens of all items of one organisation on one route that may run.
  std::uint64_t WaitingTokens(const std::string& organisation,
                              const std::string& route_key) const;
  /// Results from position `after` on, up to `max_bytes` but at least one if
  /// any exists. Empty if there is no such batch. Throws
  /// ResultError(kStorageDamaged) if a text cannot be read.
  std::optional<ResultPage> Page(const std::string& id, std::uint64_t after,
                                 std::size_t max_bytes) const;
  const std::unordered_map<std::string, Batch>& batches() const {
    return this->all_batches;
  }
  /// Returns all changes since the last call.
  Changes TakeChanges() { return std::exchange(this->changes, {}); }

 private:
  BatchReply Execute(const SubmitBatch& command);
  BatchReply Execute(const ReportOutcomes& command);
  BatchReply Execute(const EndBatch& command);
  BatchReply Execute(const ForgetBatches& command);
  BatchReply Execute(const DropListedBodies& command);
  static void CountFailure(Item& item, std::uint64_t run);
  void ApplyOutcome(const ItemOutcome& outcome);
  void RecordResult(const ItemRef& ref, Batch& batch, Item& item, bool complete,
                    const std::string& text);
  std::uint64_t& WaitingTokensOf(const Batch& batch) {
    return this->waiting_tokens[{batch.organisation, batch.route_key}];
  }
  void RecountWaitingTokens();
  struct Saved;
  /// Throws ResultError(kStorageDamaged), without any change, when result texts
  /// are missing in the files.
  void Restore(Saved saved);
  /// Offset of the first text that a batch refers to.
  std::uint64_t FirstTextOffset() const;

  std::unordered_map<std::string, Batch> all_batches;
  ResultTexts texts;
  ListedBodies bodies;
  /// By organisation and route key.
  std::map<std::pair<std::string, std::string>, std::uint64_t> waiting_tokens;
  Changes changes;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_BATCHSTATE_H_
