Feature: Log lines

  Operators search logs with grep, so each event must be a single line of
  key=value pairs.

  Scenario: A value with a space and a line break stays on one line
    Given a process that logs to memory
    When that process logs an event with a two-line value
    Then the log contains one line with that value quoted
