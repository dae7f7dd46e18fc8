package poppynotch.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.settings.ProcessSettings;
import poppynotch.settings.SettingsResult;

/** Validates settings files and configurations with the same code as the servers. */
@Parameters(commandDescription = "Validate settings (.toml) and configurations (.json)")
final class CheckCommand implements Main.Command {

    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();

    @Override
    public int run() throws IOException {
        boolean allValid = true;
        for (String file : files) {
            Optional<String> problem =
                    file.endsWith(".json")
                            ? configurationProblem(Path.of(file))
                            : settingsProblem(Path.of(file));
            System.out.println(file + ": " + problem.orElse("good"));
            allValid &= problem.isEmpty();
        }
        return allValid ? 0 : Main.EXIT_USAGE;
    }

    private static Optional<String> settingsProblem(Path file) {
        return ProcessSettings.read(file) instanceof SettingsResult.Invalid invalid
                ? Optional.of(invalid.reason())
                : Optional.empty();
    }

    private static Optional<String> configurationProblem(Path file) throws IOException {
        return ConfigReader.read(Files.readAllBytes(file)) instanceof ConfigResult.Invalid invalid
                ? Optional.of(invalid.reason())
                : Optional.empty();
    }
}
