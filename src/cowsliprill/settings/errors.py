"""Exceptions of the settings, with the error codes shown to operators."""

from cowsliprill import errors


class SettingsError(errors.CowsliprillError):
    """Raised for settings that are invalid or incomplete.

    Codes: `settings_invalid`, `settings_not_json`, `unknown_name`,
    `value_too_large`, `part_mismatch`, `part_missing`.
    """

    code = "settings_invalid"
    exit_code = errors.ExitCode.SETTINGS_INVALID


class PlatformError(errors.CowsliprillError):
    """Raised when the platform is unavailable or its response is invalid.

    Codes: `platform_unavailable`, `value_missing`, `value_too_large`,
    `value_invalid`.
    """

    code = "platform_unavailable"
    exit_code = errors.ExitCode.PLATFORM_UNAVAILABLE
