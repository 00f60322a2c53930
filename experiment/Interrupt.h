#pragma once

#include "core/Time.h"

#include <stdexcept>
#include <string>

namespace nutmegrock::experiment {

/// Ends an experiment; unwinding ends the processes that it started.
class ExperimentError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Makes SIGINT and SIGTERM end the experiment at its next pause.
void
InstallInterruptHandler();

/// Sleeps. Throws ExperimentError once the tool was interrupted.
void
Pause(core::Duration aDuration);

} // namespace nutmegrock::experiment
