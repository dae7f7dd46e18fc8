package poppynotch.lab;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** The command {@code lab sweep}: plays every point of an experiment's sweep. */
@Command(
        name = "sweep",
        sortOptions = false,
        description =
                "Plays an experiment for every combination of the values that its sweep names.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:every day was played and no rule was broken",
            "1:a rule was broken, or a day could not be played",
            "2:the command line or the file is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab sweep scale --threads 1",
            "  lab sweep my.yaml --policy decide --policy two-choices --out report"
        })
final class SweepCommand implements Callable<Integer> {

    @Mixin private RunCommand run = new RunCommand();

    @Override
    public Integer call() throws Exception {
        return run.play(true);
    }
}
