#ifndef PAPAYARACK_ENTRY_INTERNAL_BATCHAPI_H_
#define PAPAYARACK_ENTRY_INTERNAL_BATCHAPI_H_

#include <httplib.h>

#include "entry/internal/entrycontext.h"

namespace papayarack::entry {

/// Registers the batch API for callers: files and batches.
void AddBatchApi(httplib::Server& server, EntryContext& context);

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_BATCHAPI_H_
