package poppynotch.settings;

/** The result of reading a process's settings. */
public sealed interface SettingsResult {

    /** The settings are valid. */
    record Valid(ProcessSettings settings) implements SettingsResult {}

    /**
     * The settings are invalid or can't be read.
     *
     * @param reason the error and the key concerned in one line, for the operator
     */
    record Invalid(String reason) implements SettingsResult {}
}
