#include "teaseldrift/store/base64.hpp"

#include <openssl/evp.h>

namespace teaseldrift::store {

std::string encodeBase64(std::string_view text)
{
    std::string encoded((text.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(encoded.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    encoded.resize(static_cast<size_t>(length));
    return encoded;
}

std::string decodeBase64(std::string_view text)
{
    std::string decoded(text.size() / 4 * 3 + 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(decoded.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return {};
    }
    size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    decoded.resize(static_cast<size_t>(length) - padding);
    return decoded;
}

} // namespace teaseldrift::store
