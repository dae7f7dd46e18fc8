package poppynotch.settings;

/** The result of reading a process's settings. */
public sealed interface SettingsResult {

    /** The settings are valid. */
    record Valid(ProcessSettings settings) implements SettingsResult {}

    /**
     * The settings can't be used.
     *
     * @param reason one line for the operator: what is wrong, and with which key
     */
    record Invalid(String reason) implements SettingsResult {}
}
