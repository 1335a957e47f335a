#ifndef PAPAYARACK_REPLICATION_LOGWRITER_H_
#define PAPAYARACK_REPLICATION_LOGWRITER_H_

#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "consensus/durablelog.h"
#include "consensus/raftcore.h"
#include "global/boundedring.h"

namespace papayarack::replication {

/// What the writer tells the deciding thread; called on the writer's thread.
struct LogWriterHandlers {
  std::function<void(const std::vector<consensus::RaftMessage>&)> send;
  std::function<void(const consensus::RaftBatch&)> synced;
  std::function<void(const consensus::SnapshotMeta&)> snapshot_saved;
  std::function<void(const std::string& reason)> failed;
};

/// The write-and-sync thread: batches go to the log in order, are synced, and
/// only then do the messages that depend on them leave. After a failed write or
/// sync it writes nothing more and nothing more leaves: what was not synced is
/// never acknowledged. Thread safety: the methods are for the deciding thread.
class LogWriter {
 public:
  /// Most that can wait; who offers more waits itself.
  static constexpr std::size_t kMostWaiting = 1024;

  LogWriter(storage::FileSystem& files, consensus::DurableLog& log,
            LogWriterHandlers handlers);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// False when the ring is full: the caller keeps the batch and offers it
  /// again.
  bool Enqueue(consensus::RaftReady& ready);
  /// Saves a snapshot in the background, after syncing the blob files named and
  /// calling `write_files`.
  bool EnqueueSnapshot(consensus::SnapshotMeta meta, std::string state,
                       std::vector<std::string> blob_files,
                       std::function<void()> write_files = {});
  /// What was offered and is not finished.
  std::uint64_t Waiting() const { return this->offered - this->finished; }
  /// Waits until everything offered is written. Only for installing a fetched
  /// snapshot.
  void Drain();

 private:
  struct SnapshotWork {
    consensus::SnapshotMeta meta;
    std::string state;
    std::vector<std::string> blob_files;
    std::function<void()> write_files;
  };
  struct Batch {
    consensus::RaftBatch batch;
    std::optional<consensus::Index> truncate_from;
    std::vector<consensus::Entry> entries;
    std::optional<consensus::HardState> hard_state;
    std::vector<consensus::RaftMessage> after_sync;
  };
  using Work = std::variant<Batch, SnapshotWork>;

  void Run();
  void WriteAll(std::vector<Work>& works);
  void Save(const SnapshotWork& work);

  storage::FileSystem& files;
  consensus::DurableLog& log;
  LogWriterHandlers handlers;
  BoundedRing<Work> ring;
  std::atomic<std::uint64_t> offered = 0;
  std::atomic<std::uint64_t> finished = 0;
  bool broken = false;
  std::thread thread;
};

}  // namespace papayarack::replication

#endif  // PAPAYARACK_REPLICATION_LOGWRITER_H_
