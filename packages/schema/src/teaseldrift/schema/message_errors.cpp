#include "teaseldrift/schema/message_errors.hpp"

#include <google/protobuf/stubs/logging.h>

namespace teaseldrift::schema {

void silenceMessageErrors()
{
    google::protobuf::SetLogHandler(nullptr);
}

} // namespace teaseldrift::schema
