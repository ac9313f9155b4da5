#include <catch2/catch.hpp>

#include "teaseldrift/ctl/document_text.hpp"
#include "teaseldrift/ctl/message_fields.hpp"
#include "teaseldrift/ctl/vm_admin.hpp"

namespace teaseldrift::ctl {

namespace {

const google::protobuf::FieldDescriptor &field(const google::protobuf::Message &message,
                                               const char *name)
{
    return *message.GetDescriptor()->FindFieldByName(name);
}

} // namespace

TEST_CASE("a document with comments is parsed, and one with unknown fields is rejected")
{
    schema::Configuration configuration;
    CHECK(parseDocument("// why\n{\"organisations\":[{\"name\":\"a\" /* who */}]}", configuration)
                  .empty());
    REQUIRE(configuration.organisations_size() == 1);
    CHECK_FALSE(parseDocument(R"({"organisation":[]})", configuration).empty());
    CHECK_FALSE(parseDocument("{", configuration).empty());
}

TEST_CASE("a printed document has no key records, and applying it preserves the keys")
{
    schema::Configuration current;
    schema::Organisation &organisation = *current.add_organisations();
    organisation.set_name("a");
    organisation.add_keys()->set_hash("hash");
    schema::Configuration desired;
    REQUIRE(parseDocument(printDocument(current), desired).empty());
    CHECK(desired.organisations(0).keys().empty());
    preserveKeys(current, desired);
    CHECK(desired.organisations(0).keys_size() == 1);
}

TEST_CASE("fields are set from strings, and errors name the flag, the value and what is allowed")
{
    schema::Route route;
    CHECK(setField(route, field(route, "route_class"), {"non-idempotent"}).empty());
    CHECK(route.route_class() == schema::NON_IDEMPOTENT);
    CHECK(formatField(route, field(route, "route_class")) == "non-idempotent");
    CHECK(setField(route, field(route, "open"), {"maybe"})
          == "--open: 'maybe' is not allowed; allowed: true, false");
    schema::Target target;
    CHECK_FALSE(setField(target, field(target, "port"), {"-1"}).empty());
    CHECK(setField(target, field(target, "models"), {"a", "b"}).empty());
    CHECK(formatField(target, field(target, "models")) == "a,b");
}

TEST_CASE("a VM's status is parsed when fields are missing")
{
    VmStatus status;
    REQUIRE(parseStatus(R"({"vm_id":"vm-1","revision":"7","configuration_current":true,
        "targets":[1,2]})",
                        status));
    CHECK(status.revision == 7);
    CHECK(status.canVote);
    CHECK(status.targets == 2);
    CHECK_FALSE(parseStatus("<html>", status));
}

} // namespace teaseldrift::ctl
