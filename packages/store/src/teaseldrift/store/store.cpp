#include "teaseldrift/store/store.hpp"

namespace teaseldrift::store {

namespace {

class StoreErrorCategory : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override { return "store"; }

    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<StoreError>(value)) {
        case StoreError::Unavailable:
            return "the store did not respond or rejected the call";
        case StoreError::Compacted:
            return "the requested changes have been compacted";
        case StoreError::LeaseExpired:
            return "the lease has expired";
        case StoreError::Malformed:
            return "the request or the response could not be parsed";
        }
        return "unknown store error";
    }
};

} // namespace

std::error_code make_error_code(StoreError error)
{
    static const StoreErrorCategory category;
    return {static_cast<int>(error), category};
}

} // namespace teaseldrift::store
