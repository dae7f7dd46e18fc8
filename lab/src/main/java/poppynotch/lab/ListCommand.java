package poppynotch.lab;

import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import poppynotch.lab.experiment.ExperimentReader;

/** The command {@code lab list}: lists the experiments that come with the lab. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description = "Lists the experiments that come with the lab, each with what it shows.")
final class ListCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        for (String name : ExperimentReader.shipped()) {
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%-20s %s%n",
                            name, ExperimentReader.tree(name, Map.of()).path("about").asText());
        }
        spec.commandLine().getOut().flush();
        return 0;
    }
}
