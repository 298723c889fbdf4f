#include "support/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace Citronpitch {

namespace {

int exitCodeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &logFile, const std::vector<std::string> &environment)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    start(program, arguments, environment, actions);
}

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, int output,
                           const std::vector<std::string> &environment)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    start(program, arguments, environment, actions);
}

void ChildProcess::start(const std::string &program, const std::vector<std::string> &arguments,
                         const std::vector<std::string> &environment, posix_spawn_file_actions_t &actions)
{
    std::vector<char *> values;
    values.push_back(const_cast<char *>(program.c_str()));
    for (const auto &it : arguments)
        values.push_back(const_cast<char *>(it.c_str()));
    values.push_back(nullptr);
    std::vector<char *> variables;
    for (const auto &it : environment)
        variables.push_back(const_cast<char *>(it.c_str()));
    for (char **it = environ; *it != nullptr; ++it)
        variables.push_back(*it);
    variables.push_back(nullptr);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The sockets of a proxy in this process would else stay open in the child.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int result =
        posix_spawn(&m_id, program.c_str(), &actions, nullptr, values.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error("can't start " + program);
}

ChildProcess::~ChildProcess()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    wait();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_id(std::exchange(other.m_id, -1))
    , m_exitCode(other.m_exitCode)
{
}

void ChildProcess::signal(int number) const
{
    if (m_id > 0)
        ::kill(m_id, number);
}

int ChildProcess::wait()
{
    if (m_id <= 0)
        return m_exitCode;
    int status = 0;
    ::waitpid(m_id, &status, 0);
    m_id = -1;
    m_exitCode = exitCodeOf(status);
    return m_exitCode;
}

bool ChildProcess::hasEnded()
{
    int status = 0;
    if (m_id > 0 && ::waitpid(m_id, &status, WNOHANG) == m_id) {
        m_id = -1;
        m_exitCode = exitCodeOf(status);
    }
    return m_id <= 0;
}

pid_t ChildProcess::id() const
{
    return m_id;
}

std::size_t ChildProcess::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_id) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

double ChildProcess::processorSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(m_id) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

} // namespace Citronpitch
