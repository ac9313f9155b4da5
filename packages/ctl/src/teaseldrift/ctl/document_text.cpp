#include "teaseldrift/ctl/document_text.hpp"

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace teaseldrift::ctl {

std::string parseDocument(std::string_view text, schema::Configuration &configuration)
{
    constexpr bool ignoreComments = true;
    nlohmann::json parsed;
    try {
        parsed = nlohmann::json::parse(text, nullptr, true, ignoreComments);
    } catch (const nlohmann::json::parse_error &error) {
        return error.what();
    }
    const google::protobuf::util::Status status
            = google::protobuf::util::JsonStringToMessage(parsed.dump(), &configuration);
    return status.ok() ? "" : status.ToString();
}

std::string printDocument(const schema::Configuration &configuration)
{
    schema::Configuration shown = configuration;
    for (schema::Organisation &organisation : *shown.mutable_organisations()) {
        organisation.clear_keys();
    }
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.preserve_proto_field_names = true;
    std::string text;
    const google::protobuf::util::Status status
            = google::protobuf::util::MessageToJsonString(shown, &text, options);
    return status.ok() ? text : "";
}

void preserveKeys(const schema::Configuration &current, schema::Configuration &desired)
{
    for (schema::Organisation &organisation : *desired.mutable_organisations()) {
        for (const schema::Organisation &known : current.organisations()) {
            if (organisation.keys().empty() && known.name() == organisation.name()) {
                *organisation.mutable_keys() = known.keys();
            }
        }
    }
}

} // namespace teaseldrift::ctl
