#ifndef PAPAYARACK_ENTRY_INTERNAL_OPERATORAPI_H_
#define PAPAYARACK_ENTRY_INTERNAL_OPERATORAPI_H_

#include <httplib.h>

#include "entry/internal/entrycontext.h"

namespace papayarack::entry {

/// Adds the operators' API: service documents and the state in their terms.
void AddOperatorApi(httplib::Server& server, EntryContext& context);

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_OPERATORAPI_H_
