package poppynotch.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the doors of hollow processes say, read. */
final class HollowAnswers {

    private HollowAnswers() {}

    /**
     * What the running members of one or more processes see.
     *
     * @param running members
     * @param digests how many of them hold each view
     * @param least the fewest members that one of them sees present; -1 where none runs
     * @param most the most
     * @param versions how many of them hold each version of discovery's list
     */
    record Views(
            int running,
            Map<String, Integer> digests,
            int least,
            int most,
            Map<Long, Integer> versions) {

        /** None runs. */
        static final Views NONE = new Views(0, Map.of(), -1, -1, Map.of());

        /** One process's answer to {@code views}. */
        static Views of(JsonNode answer) {
            Map<String, Integer> digests = new TreeMap<>();
            answer.path("digests")
                    .fields()
                    .forEachRemaining(each -> digests.put(each.getKey(), each.getValue().asInt()));
            Map<Long, Integer> versions = new TreeMap<>();
            answer.path("versions")
                    .fields()
                    .forEachRemaining(
                            each ->
                                    versions.put(
                                            Long.valueOf(each.getKey()), each.getValue().asInt()));
            int running = answer.path("running").asInt();
            return new Views(
                    running,
                    digests,
                    running == 0 ? -1 : answer.path("present").path("min").asInt(),
                    running == 0 ? -1 : answer.path("present").path("max").asInt(),
                    versions);
        }

        /** These and those of another process. */
        Views and(Views other) {
            if (running == 0 || other.running == 0) {
                return running == 0 ? other : this;
            }
            Map<String, Integer> both = new TreeMap<>(digests);
            other.digests.forEach((digest, n) -> both.merge(digest, n, Integer::sum));
            Map<Long, Integer> held = new TreeMap<>(versions);
            other.versions.forEach((version, n) -> held.merge(version, n, Integer::sum));
            return new Views(
                    running + other.running,
                    both,
                    Math.min(least, other.least),
                    Math.max(most, other.most),
                    held);
        }

        /** Whether all of so many run, see so many present, and hold one view. */
        boolean areOne(int members, int present) {
            return running == members && digests.size() == 1 && least == present && most == present;
        }
    }

    /**
     * The counters of one member since its start.
     *
     * @param present members that it sees
     * @param riders bytes that went out for each kind of state that rides on messages, by the
     *     kind's letter
     * @param heldMembers entries of its view
     * @param heldSightings what it holds of servers by word of others
     * @param heldServers what discovery told it of
     */
    record Counters(
            String name,
            int present,
            long datagramsOut,
            long datagramsIn,
            long bytesOut,
            long bytesIn,
            long bytesOutFar,
            Map<String, Long> riders,
            int heldMembers,
            int heldSightings,
            int heldServers) {

        private static Counters of(JsonNode member) {
            Map<String, Long> riders = new TreeMap<>();
            member.path("rider_bytes_out")
                    .fields()
                    .forEachRemaining(each -> riders.put(each.getKey(), each.getValue().asLong()));
            JsonNode entries = member.path("entries");
            return new Counters(
                    member.path("name").asText(),
                    member.path("present").asInt(),
                    member.path("datagrams_out").asLong(),
                    member.path("datagrams_in").asLong(),
                    member.path("bytes_out").asLong(),
                    member.path("bytes_in").asLong(),
                    member.path("bytes_out_far").asLong(),
                    riders,
                    entries.path("members").asInt(),
                    entries.path("sightings").asInt(),
                    entries.path("servers").asInt());
        }
    }

    /**
     * What one or more processes used and counted.
     *
     * @param cpuSeconds processor time of the processes so far
     * @param heapMb heap in use
     * @param members the counters of those that run, by name
     */
    record Stats(double cpuSeconds, double heapMb, Map<String, Counters> members) {

        /** No process. */
        static final Stats NONE = new Stats(0, 0, Map.of());

        /** One process's answer to {@code stats}. */
        static Stats of(JsonNode answer) {
            Map<String, Counters> members = new TreeMap<>();
            answer.path("members")
                    .forEach(
                            member -> {
                                Counters counters = Counters.of(member);
                                members.put(counters.name(), counters);
                            });
            return new Stats(
                    answer.path("cpu_s").asDouble(), answer.path("heap_mb").asDouble(), members);
        }

        /** These and those of another process. */
        Stats and(Stats other) {
            Map<String, Counters> all = new TreeMap<>(members);
            all.putAll(other.members);
            return new Stats(cpuSeconds + other.cpuSeconds, heapMb + other.heapMb, all);
        }
    }

    /** Lines of one call for many names, each short enough for a door. */
    static List<String> lines(String call, List<String> names, int longest) {
        List<String> lines = new ArrayList<>();
        StringBuilder line = new StringBuilder(call);
        for (String name : names) {
            if (line.length() + 1 + name.length() > longest) {
                lines.add(line.toString());
                line = new StringBuilder(call);
            }
            line.append(' ').append(name);
        }
        if (line.length() > call.length()) {
            lines.add(line.toString());
        }
        return lines;
    }
}
