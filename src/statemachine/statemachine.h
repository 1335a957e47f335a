#ifndef PAPAYARACK_STATEMACHINE_STATEMACHINE_H_
#define PAPAYARACK_STATEMACHINE_STATEMACHINE_H_

#include <string>
#include <string_view>

#include "claims/claimtable.h"
#include "documents/documentbook.h"
#include "jobs/filebook.h"
#include "jobs/jobbook.h"
#include "statemachine/commands.h"
#include "storage/blobstore.h"

namespace papayarack::statemachine {

/// Everything that the replicated log decides, joined. The same log gives the
/// same state and the same blob bytes on every member. Thread safety: none, one
/// owner.
class StateMachine {
 public:
  explicit StateMachine(storage::BlobStore& blobs)
      : blobs(blobs), file_book(blobs), job_book(blobs, file_book) {}

  /// Applies one committed command. Malformed or refused commands give a reply
  /// with a code and change nothing. Throws only when the disk fails.
  CommandReply Apply(std::string_view command);
  /// True when a PassTime at `now_ms` would change something soon needed.
  bool NeedsPassTime(std::int64_t now_ms) const;

  std::string Save() const;
  /// Throws ResultError(kProtocol) on malformed bytes.
  void Load(std::string_view bytes);

  const documents::DocumentBook& documents() const {
    return this->document_book;
  }
  const jobs::JobBook& jobs() const { return this->job_book; }
  const jobs::FileBook& files() const { return this->file_book; }
  const claims::ClaimTable& claims() const { return this->claim_book; }

 private:
  CommandReply Do(const SubmitDocument& command);
  CommandReply Do(const AppendFile& command);
  CommandReply Do(const CreateJob& command);
  CommandReply Do(const CancelJob& command);
  CommandReply Do(const PullItems& command);
  CommandReply Do(const PassTime& command);
  CommandReply Do(const MakeClaim& command);
  CommandReply Do(const EndClaim& command);

  storage::BlobStore& blobs;
  documents::DocumentBook document_book;
  jobs::FileBook file_book;
  jobs::JobBook job_book;
  claims::ClaimTable claim_book;
};

}  // namespace papayarack::statemachine

#endif  // PAPAYARACK_STATEMACHINE_STATEMACHINE_H_
