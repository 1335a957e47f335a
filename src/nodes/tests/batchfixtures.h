#ifndef PAPAYARACK_NODES_TESTS_BATCHFIXTURES_H_
#define PAPAYARACK_NODES_TESTS_BATCHFIXTURES_H_

#include <string>

#include "batches/tests/batchtable.h"
#include "nodes/dialect.h"

namespace papayarack::nodes {

/// A minimal dialect that identifies answers by the header "Id". The header
/// "Parts" names one part of the prompt, before the last.
inline Dialect MakeBatchDialect() {
  Dialect dialect;
  dialect.identity = [](const std::string& id) {
    return http::Header{"Id", id};
  };
  dialect.read_call = [](const http::Headers& headers) {
    CallFields fields;
    if (headers.Has("Parts")) {
      fields.prompt_parts = {std::string(headers.Get("Parts")), "last"};
    }
    return fields;
  };
  dialect.write_forward = [](http::Headers&, const ForwardFields&) {};
  dialect.read_engine_head = [](const http::HttpHead&) { return EngineHead{}; };
  return dialect;
}

using batches::MakeBatchTable;

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_TESTS_BATCHFIXTURES_H_
