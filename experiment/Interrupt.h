#pragma once

#include "core/Time.h"

#include <stdexcept>
#include <string>

namespace nutmegrock::experiment {

/// Aborts an experiment; stack unwinding ends the processes it started.
class ExperimentError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Makes SIGINT and SIGTERM abort the experiment at the next Pause().
void
InstallInterruptHandler();

/// Sleeps. Throws ExperimentError if a signal has interrupted the experiment.
void
Pause(core::Duration aDuration);

} // namespace nutmegrock::experiment
