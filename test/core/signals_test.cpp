// Tests that a write which the operating system refuses only fails.

#include "jackdawweir/core/signals.h"

#include <cerrno>
#include <cstdio>

#include <sys/resource.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::core {

namespace {

// Sets the limit on the size of files for the life of an object.
class file_size_limit
{
public:
    explicit file_size_limit(rlim_t bytes)
    {
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_FSIZE, &m_before));
        const rlimit limited{bytes, m_before.rlim_max};
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_FSIZE, &limited));
    }
    file_size_limit(const file_size_limit &) = delete;
    file_size_limit &operator=(const file_size_limit &) = delete;
    ~file_size_limit()
    {
        ::setrlimit(RLIMIT_FSIZE, &m_before);
    }

private:
    rlimit m_before{};
};

} // namespace

class signals_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(signals_test);
    CPPUNIT_TEST(reportsAWriteBeyondTheLimitOnTheSizeOfFiles);
    CPPUNIT_TEST(reportsAWriteToAClosedPipe);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each of these guards against a process that a refused write ends.
    void reportsAWriteBeyondTheLimitOnTheSizeOfFiles()
    {
        ignoreWriteSignals();
        std::FILE *file = std::tmpfile();
        CPPUNIT_ASSERT(file != nullptr);
        ssize_t written = 0;
        int failure = 0;
        {
            const file_size_limit limit(0);
            written = ::write(::fileno(file), "x", 1);
            failure = errno;
        }
        std::fclose(file);
        CPPUNIT_ASSERT_EQUAL(ssize_t{-1}, written);
        CPPUNIT_ASSERT_EQUAL(EFBIG, failure);
    }

    void reportsAWriteToAClosedPipe()
    {
        ignoreWriteSignals();
        int ends[2] = {};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends));
        ::close(ends[0]);
        const ssize_t written = ::write(ends[1], "x", 1);
        const int failure = errno;
        ::close(ends[1]);
        CPPUNIT_ASSERT_EQUAL(ssize_t{-1}, written);
        CPPUNIT_ASSERT_EQUAL(EPIPE, failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(signals_test);

} // namespace jackdawweir::core
