#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

#include "message.hpp"

namespace review {

/// @brief The file that tells what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &file) : m_file(file) { }

    void write(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << elapsed().count() << " ms: " << text << std::endl;
    }

    [[nodiscard]] std::chrono::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

} // namespace review
