package poppynotch.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.settings.ProcessSettings;
import poppynotch.settings.SettingsResult;

/** Checks settings files and configurations with the code that serves by them. */
@Parameters(commandDescription = "Check settings (.toml) and configurations (.json)")
final class CheckCommand implements Main.Command {

    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();

    @Override
    public int run() throws IOException {
        int bad = 0;
        for (String file : files) {
            String problem =
                    file.endsWith(".json") ? configuration(Path.of(file)) : settings(Path.of(file));
            System.out.println(file + ": " + (problem.isEmpty() ? "good" : problem));
            bad += problem.isEmpty() ? 0 : 1;
        }
        return bad == 0 ? 0 : Main.EXIT_USAGE;
    }

    private static String settings(Path file) {
        return ProcessSettings.read(file) instanceof SettingsResult.Bad bad ? bad.reason() : "";
    }

    private static String configuration(Path file) throws IOException {
        return ConfigReader.read(Files.readAllBytes(file)) instanceof ConfigResult.Invalid invalid
                ? invalid.reason()
                : "";
    }
}
