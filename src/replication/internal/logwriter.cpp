#include "replication/logwriter.h"

#include <utility>

#include "global/resultcode.h"
#include "global/variantcodec.h"

namespace papayarack::replication {
namespace {
constexpr std::chrono::milliseconds kPollInterval{200};
}  // namespace

LogWriter::LogWriter(storage::FileSystem& files, consensus::DurableLog& log,
                     LogWriterHandlers handlers)
    : files(files), log(log), handlers(std::move(handlers)), ring(kMaxQueued) {
  this->thread = std::thread([this] { this->Run(); });
}

LogWriter::~LogWriter() {
  this->ring.Close();
  this->thread.join();
}

bool LogWriter::Enqueue(consensus::RaftReady& ready) {
  if (!ready.NeedsSync() && ready.after_sync.empty()) {
    return true;
  }
  Batch batch{ready.batch, ready.truncate_from, std::move(ready.entries),
              ready.hard_state, std::move(ready.after_sync)};
  ++this->offered;
  return this->ring.Push(std::move(batch));
}

bool LogWriter::EnqueueSnapshot(consensus::SnapshotMeta meta, std::string state,
                                std::vector<std::string> blob_files,
                                std::function<void()> write_files) {
  ++this->offered;
  return this->ring.Push(SnapshotWork{std::move(meta), std::move(state),
                                      std::move(blob_files),
                                      std::move(write_files)});
}

void LogWriter::Drain() {
  while (this->finished < this->offered) {
    std::this_thread::yield();
  }
}

void LogWriter::Run() {
  while (true) {
    std::vector<Work> works = this->ring.PopAll(kPollInterval);
    if (works.empty()) {
      if (this->ring.Closed()) {
        return;
      }
      continue;
    }
    if (!this->broken) {
      try {
        this->WriteAll(works);
      } catch (const std::exception& error) {
        this->broken = true;
        this->handlers.failed(error.what());
      }
    }
    this->finished += works.size();
  }
}

void LogWriter::WriteAll(std::vector<Work>& works) {
  // Group commit: consecutive batches that only append entries share one sync.
  std::vector<consensus::RaftMessage> messages;
  consensus::RaftBatch last;
  std::vector<consensus::Entry> entries;
  const auto flush = [&] {
    if (!entries.empty()) {
      this->log.Write({}, entries, {});
      entries.clear();
    }
    if (!messages.empty()) {
      this->handlers.send(std::exchange(messages, {}));
    }
    if (last.number != 0) {
      this->handlers.synced(std::exchange(last, {}));
    }
  };
  for (Work& work : works) {
    std::visit(Overloaded{[&](Batch& batch) {
                            if (batch.truncate_from.has_value() ||
                                batch.hard_state.has_value()) {
                              flush();
                              this->log.Write(batch.truncate_from,
                                              batch.entries, batch.hard_state);
                            } else {
                              std::ranges::move(batch.entries,
                                                std::back_inserter(entries));
                            }
                            std::ranges::move(batch.after_sync,
                                              std::back_inserter(messages));
                            last = batch.batch;
                          },
                          [&](SnapshotWork& snapshot) {
                            flush();
                            this->Save(snapshot);
                          }},
               work);
  }
  flush();
}

void LogWriter::Save(const SnapshotWork& work) {
  for (const std::string& name : work.blob_files) {
    if (this->files.Exists(name)) {
      this->files.SyncFile(name);
    }
  }
  this->files.SyncFolder();
  if (work.write_files) {
    work.write_files();
  }
  this->log.SaveSnapshot(work.meta, work.state);
  this->handlers.snapshot_saved(work.meta);
}

}  // namespace papayarack::replication
