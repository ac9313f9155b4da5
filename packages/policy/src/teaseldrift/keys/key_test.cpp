#include "teaseldrift/keys/key.hpp"

#include <array>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

NewKey makeKey(uint8_t fill)
{
    std::array<uint8_t, keyRandomBytes> bytes{};
    bytes.fill(fill);
    return createKey(bytes, 42);
}

} // namespace

TEST_CASE("a key identifies its organisation until it is removed from the configuration")
{
    const NewKey first = makeKey(1);
    const NewKey second = makeKey(2);
    schema::Configuration configuration;
    schema::Organisation &one = *configuration.add_organisations();
    one.set_name("one");
    *one.add_keys() = first.record;
    schema::Organisation &two = *configuration.add_organisations();
    two.set_name("two");
    *two.add_keys() = second.record;
    CHECK(KeyRing(configuration.organisations()).findOrganisation(first.text) == "one");
    CHECK(KeyRing(configuration.organisations()).findOrganisation(second.text) == "two");
    one.clear_keys();
    CHECK_FALSE(KeyRing(configuration.organisations()).findOrganisation(first.text).has_value());
    CHECK_FALSE(KeyRing().findOrganisation(second.text).has_value());
}

TEST_CASE("a key with a wrong secret and malformed keys are rejected")
{
    const NewKey key = makeKey(1);
    const NewKey other = makeKey(2);
    schema::Configuration configuration;
    *configuration.add_organisations()->add_keys() = key.record;
    const KeyRing ring(configuration.organisations());
    const std::string id(keyIdOf(key.text));
    const std::string otherSecret = other.text.substr(other.text.rfind('-'));
    CHECK_FALSE(ring.findOrganisation("td-" + id + otherSecret).has_value());
    for (const std::string &text :
         {std::string(), std::string("td-"), "td-" + id, "td-" + id + "-", key.text + "0",
          key.text.substr(0, key.text.size() - 1), std::string(1000, 'x')}) {
        CHECK_FALSE(ring.findOrganisation(text).has_value());
    }
}

TEST_CASE("a key record does not contain the secret, and salts differ between keys")
{
    const NewKey key = makeKey(7);
    const std::string secret = key.text.substr(key.text.rfind('-') + 1);
    CHECK(key.text.starts_with("td-" + key.record.id() + "-"));
    CHECK(key.record.SerializeAsString().find(secret) == std::string::npos);
    CHECK(key.record.salt() != makeKey(8).record.salt());
    CHECK(key.record.hash().size() == 32);
    CHECK(key.record.created_unix_ms() == 42);
}

} // namespace teaseldrift
