package io.pepperfield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.config.Settings;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.JobSpec.Rank;
import io.pepperfield.standin.JobSpecBuilder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What may be stopped for what: the protocol's two cases and nothing else. */
class PreemptionTest {

    private final Map<String, Share> shares =
            new HashMap<>(
                    Map.of(
                            "red",
                            new Share(new Settings.Team("red", 8, 64, 0, 0), 0, 0, 0, 0),
                            "blue",
                            new Share(new Settings.Team("blue", 8, 64, 0, 0), 12, 0, 0, 0)));

    private static JobSpec job(String team, Rank rank, double cpus) {
        return new JobSpecBuilder().team(team).rank(rank).cpus(cpus).image("img").build();
    }

    private static PlacementRequest request(Rank rank, double cpus, boolean guaranteed) {
        PlacementRequest request =
                new PlacementRequest(
                        job("red", rank, cpus), 1, guaranteed, 0, new HashMap<>(), new HashSet<>());
        request.stuck = true;
        return request;
    }

    private static Preemption.Victim victim(
            String id, String team, Rank rank, double cpus, double lostS) {
        return new Preemption.Victim(id, job(team, rank, cpus), lostS);
    }

    private List<String> stopped(
            PlacementRequest request, double free, Preemption.Victim... victims) {
        Room room =
                new Room(
                        "m1", "box", "east", false, Set.of(), free, 0, 64, new Capacity(64, 0, 64));
        return Preemption.victims(
                new ArrayList<>(List.of(request)),
                List.of(new Preemption.Place(room, List.of(victims))),
                shares);
    }

    @Test
    void higherRankStopsTheLowestThatLosesLeast() {
        assertEquals(
                List.of("c"),
                stopped(
                        request(Rank.URGENT, 4, false),
                        0,
                        victim("a", "red", Rank.STANDARD, 4, 1),
                        victim("b", "red", Rank.BEST_EFFORT, 4, 9),
                        victim("c", "red", Rank.BEST_EFFORT, 4, 2)));
    }

    @Test
    void equalRankStopsNothingWithoutAGuarantee() {
        assertEquals(
                List.of(),
                stopped(
                        request(Rank.STANDARD, 4, false),
                        0,
                        victim("a", "blue", Rank.STANDARD, 4, 1)));
    }

    @Test
    void aGuaranteeStopsWhatAnotherTeamHasBeyondItsOwn() {
        // Blue uses 12 of its 8: one task of 4 is borrowed, the next is its own.
        assertEquals(
                List.of("b"),
                stopped(
                        request(Rank.STANDARD, 4, true),
                        0,
                        victim("a", "blue", Rank.STANDARD, 4, 9),
                        victim("b", "blue", Rank.STANDARD, 4, 1)));
        assertEquals(
                List.of(),
                stopped(
                        request(Rank.STANDARD, 8, true),
                        0,
                        victim("a", "blue", Rank.STANDARD, 8, 9)));
        assertEquals(
                List.of(),
                stopped(
                        request(Rank.STANDARD, 4, true),
                        0,
                        victim("a", "blue", Rank.PRODUCTION, 4, 9)));
        assertEquals(
                List.of(),
                stopped(
                        request(Rank.STANDARD, 4, true),
                        0,
                        victim("a", "red", Rank.STANDARD, 4, 9)));
    }

    @Test
    void aTeamAtItsLimitMakesRoomByItsOwnLowerWork() {
        shares.put("red", new Share(new Settings.Team("red", 8, 8, 0, 0), 8, 0, 0, 0));
        PlacementRequest urgent = request(Rank.URGENT, 1, false);
        urgent.stuck = false;
        assertEquals(
                List.of("b"),
                stopped(
                        urgent,
                        64,
                        victim("a", "blue", Rank.BEST_EFFORT, 4, 1),
                        victim("b", "red", Rank.STANDARD, 4, 5),
                        victim("c", "red", Rank.URGENT, 4, 1)));
        PlacementRequest standard = request(Rank.STANDARD, 1, true);
        standard.stuck = false;
        assertEquals(List.of(), stopped(standard, 64, victim("b", "red", Rank.STANDARD, 4, 5)));
    }

    @Test
    void whatIsBeingFreedIsNotFreedTwice() {
        assertEquals(
                List.of(),
                stopped(
                        request(Rank.PRODUCTION, 4, false),
                        4,
                        victim("a", "blue", Rank.STANDARD, 4, 1)));
    }
}
