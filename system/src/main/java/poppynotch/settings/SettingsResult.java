package poppynotch.settings;

/** What came of reading a settings file. */
public sealed interface SettingsResult {

    /** The file is good. */
    record Good(ProcessSettings settings) implements SettingsResult {}

    /** The file can't be used; {@code reason} is one line for whoever wrote it. */
    record Bad(String reason) implements SettingsResult {}
}
