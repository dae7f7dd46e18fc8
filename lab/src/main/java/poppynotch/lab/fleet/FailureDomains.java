package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Where the members of a virtual fleet stand: in racks of zones of regions, with the delays between
 * them. An address tells its place: 127.(10 + zone's number).(rack).(place in the rack).
 */
public final class FailureDomains {

    /** A rack has so many machines, by our reading of the plan. */
    public static final int MEMBERS_PER_RACK = 24;

    /** No places: all members are as near to each other as without them. */
    static final FailureDomains NONE = new FailureDomains(List.of(), new Delays(0, 0, 0));

    private static final int FIRST_NET = 10;

    /** The plan's regions, by zones: 3 in the first, 2 in the second. */
    private static final List<String> PLANNED = List.of("r1", "r1", "r1", "r2", "r2");

    /**
     * One-way delays in milliseconds, to which up to a fifth is added at random.
     *
     * @param zoneMs within a zone
     * @param regionMs between zones of a region
     * @param regionsMs between regions
     */
    public record Delays(double zoneMs, double regionMs, double regionsMs) {

        /** The delays that are taken where nothing else is said. */
        public static final Delays DEFAULT = new Delays(0.1, 0.5, 30);

        /** Refuses what cannot be a delay. */
        public Delays {
            for (double ms : new double[] {zoneMs, regionMs, regionsMs}) {
                if (!(ms >= 0 && ms <= 10_000)) {
                    throw new IllegalArgumentException(
                            "a delay must be 0 to 10000 ms but is " + ms);
                }
            }
        }
    }

    /**
     * Where one stands.
     *
     * @param region its name
     * @param zone its number, from 1
     * @param rack its number within the zone, from 0
     */
    record Place(String region, int zone, int rack) {

        String zoneName() {
            return "z" + zone;
        }

        /** Whether it lies in a region r1, a zone z1 or a rack z1/0. */
        boolean isIn(String where) {
            return region.equals(where)
                    || zoneName().equals(where)
                    || where.equals(zoneName() + "/" + rack);
        }
    }

    private final List<Place> places;
    private final List<String> addresses = new ArrayList<>();
    private final List<String> regions;
    private final int[] regionOf;
    private final Delays delays;

    private FailureDomains(List<Place> places, Delays delays) {
        this.places = List.copyOf(places);
        this.delays = delays;
        regions = places.stream().map(Place::region).distinct().sorted().toList();
        regionOf = places.stream().mapToInt(place -> regions.indexOf(place.region())).toArray();
        Map<String, Integer> taken = new HashMap<>();
        for (Place place : places) {
            int host = taken.merge(place.zoneName() + "/" + place.rack(), 1, Integer::sum);
            addresses.add(
                    "127."
                            + (FIRST_NET + place.zone())
                            + "."
                            + place.rack()
                            + "."
                            + host
                            + ":7000");
        }
    }

    /**
     * Members of two regions with five zones, one after the other in each zone, so that all are as
     * large.
     */
    static FailureDomains planned(int members, Delays delays) {
        int zones = PLANNED.size();
        return new FailureDomains(
                IntStream.range(0, members)
                        .mapToObj(
                                i ->
                                        new Place(
                                                PLANNED.get(i % zones),
                                                i % zones + 1,
                                                i / zones / MEMBERS_PER_RACK))
                        .toList(),
                delays);
    }

    /** Members each at a place of its own. */
    static FailureDomains of(List<Place> places, Delays delays) {
        return new FailureDomains(places, delays);
    }

    boolean isNone() {
        return places.isEmpty();
    }

    Place of(int member) {
        return places.get(member);
    }

    String address(int member) {
        return addresses.get(member);
    }

    /** The number of a member's region. */
    int region(int member) {
        return regionOf[member];
    }

    /** The number of a region of this name. */
    int region(String name) {
        int number = regions.indexOf(name);
        if (number < 0) {
            throw new IllegalArgumentException("there is no region " + name + ", only " + regions);
        }
        return number;
    }

    int regions() {
        return regions.size();
    }

    /** The members in a region, zone or rack. */
    List<Integer> in(String where) {
        List<Integer> in =
                IntStream.range(0, places.size())
                        .filter(i -> places.get(i).isIn(where))
                        .boxed()
                        .toList();
        if (in.isEmpty()) {
            throw new IllegalArgumentException("there is nobody at " + where);
        }
        return in;
    }

    /** The delay of one way, before what is added at random. */
    double ms(int from, int to) {
        Place one = places.get(from);
        Place other = places.get(to);
        return regionOf[from] != regionOf[to]
                ? delays.regionsMs()
                : one.zone() == other.zone() ? delays.zoneMs() : delays.regionMs();
    }
}
