#pragma once

#include <spawn.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Citronpitch {

/**
 * @brief A process that a test or the demo started; it is killed when the object goes.
 */
class ChildProcess
{
public:
    /// Starts @p program with @p arguments; standard output and error go to @p logFile. @p environment is
    /// added to the environment of this process, as NAME=VALUE.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile, const std::vector<std::string> &environment = {});
    /// Starts @p program with @p arguments; standard output and error go to descriptor @p output, which the
    /// caller keeps.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, int output,
                 const std::vector<std::string> &environment = {});
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ChildProcess &operator=(ChildProcess &&) = delete;

    /// Sends signal @p number.
    void signal(int number) const;

    /// Waits until the process has ended and returns its exit code, or minus the signal that ended it.
    int wait();

    bool hasEnded();
    pid_t id() const;

    /// Resident memory in bytes; zero when the process has ended.
    std::size_t residentBytes() const;

    /// Processor time used so far, in seconds.
    double processorSeconds() const;

private:
    void start(const std::string &program, const std::vector<std::string> &arguments,
               const std::vector<std::string> &environment, posix_spawn_file_actions_t &actions);

    pid_t m_id = -1;
    int m_exitCode = 0;
};

} // namespace Citronpitch
