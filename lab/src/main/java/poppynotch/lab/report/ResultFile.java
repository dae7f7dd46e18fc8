package poppynotch.lab.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import poppynotch.lab.measure.Result;

/** Reads and writes {@code result.json}, which holds every figure of a run. Stateless. */
public final class ResultFile {

    /** The form of all JSON files of runs and comparisons. */
    static final ObjectMapper JSON =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private static final String NAME = "result.json";

    private ResultFile() {}

    /** Writes a run's results into a folder that exists. */
    static void write(Path folder, List<Result> results) throws IOException {
        JSON.writeValue(folder.resolve(NAME).toFile(), results);
    }

    /**
     * Reads a run's results.
     *
     * @param from the file, or the folder that holds {@code result.json}
     * @throws IllegalArgumentException if the file does not exist or holds something else
     */
    public static List<Result> read(Path from) throws IOException {
        Path file = Files.isDirectory(from) ? from.resolve(NAME) : from;
        try {
            return List.of(JSON.readValue(Files.readAllBytes(file), Result[].class));
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException(file + " is not there", e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    file
                            + " is no result of a run: "
                            + e.getOriginalMessage().lines().findFirst().orElse(""),
                    e);
        }
    }
}
