package io.pepperfield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.config.Settings;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.JobSpec.Priority;
import io.pepperfield.standin.JobSpecBuilder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What may be stopped for what: the protocol's two cases and nothing else. */
class PreemptionPlannerTest {

    private final Map<String, QuotaUsage> quotaUsages =
            new HashMap<>(
                    Map.of(
                            "red",
                            new QuotaUsage(new Settings.Team("red", 8, 64, 0, 0), 0, 0, 0, 0),
                            "blue",
                            new QuotaUsage(new Settings.Team("blue", 8, 64, 0, 0), 12, 0, 0, 0)));

    private static JobSpec job(String team, Priority rank, double cpus) {
        return new JobSpecBuilder().team(team).rank(rank).cpus(cpus).image("img").build();
    }

    private static PlacementRequest request(Priority rank, double cpus, boolean guaranteed) {
        PlacementRequest request =
                PlacementRequest.builder(job("red", rank, cpus), 1)
                        .withinGuarantee(guaranteed)
                        .tasksPerZone(new HashMap<>())
                        .build();
        request.unschedulable = true;
        return request;
    }

    private static PreemptionPlanner.Victim victim(
            String id, String team, Priority rank, double cpus, double lostS) {
        return new PreemptionPlanner.Victim(id, job(team, rank, cpus), lostS);
    }

    private List<String> stopped(
            PlacementRequest request, double free, PreemptionPlanner.Victim... victims) {
        FreeCapacity room =
                new FreeCapacity(
                        "m1",
                        "box",
                        "east",
                        false,
                        Set.of(),
                        new Capacity(free, 0, 64),
                        new Capacity(64, 0, 64));
        return PreemptionPlanner.selectVictims(
                new ArrayList<>(List.of(request)),
                List.of(new PreemptionPlanner.PreemptibleMachine(room, List.of(victims))),
                quotaUsages);
    }

    @Test
    void higherRankStopsTheLowestThatLosesLeast() {
        assertEquals(
                List.of("c"),
                stopped(
                        request(Priority.URGENT, 4, false),
                        0,
                        victim("a", "red", Priority.STANDARD, 4, 1),
                        victim("b", "red", Priority.BEST_EFFORT, 4, 9),
                        victim("c", "red", Priority.BEST_EFFORT, 4, 2)));
    }

    @Test
    void equalRankStopsNothingWithoutAGuarantee() {
        assertEquals(
                List.of(),
                stopped(
                        request(Priority.STANDARD, 4, false),
                        0,
                        victim("a", "blue", Priority.STANDARD, 4, 1)));
    }

    @Test
    void aGuaranteeStopsWhatAnotherTeamHasBeyondItsOwn() {
        // Blue uses 12 of its 8: one task of 4 is borrowed, the next is its own.
        assertEquals(
                List.of("b"),
                stopped(
                        request(Priority.STANDARD, 4, true),
                        0,
                        victim("a", "blue", Priority.STANDARD, 4, 9),
                        victim("b", "blue", Priority.STANDARD, 4, 1)));
        assertEquals(
                List.of(),
                stopped(
                        request(Priority.STANDARD, 8, true),
                        0,
                        victim("a", "blue", Priority.STANDARD, 8, 9)));
        assertEquals(
                List.of(),
                stopped(
                        request(Priority.STANDARD, 4, true),
                        0,
                        victim("a", "blue", Priority.PRODUCTION, 4, 9)));
        assertEquals(
                List.of(),
                stopped(
                        request(Priority.STANDARD, 4, true),
                        0,
                        victim("a", "red", Priority.STANDARD, 4, 9)));
    }

    @Test
    void aTeamAtItsLimitMakesRoomByItsOwnLowerWork() {
        quotaUsages.put("red", new QuotaUsage(new Settings.Team("red", 8, 8, 0, 0), 8, 0, 0, 0));
        PlacementRequest urgent = request(Priority.URGENT, 1, false);
        urgent.unschedulable = false;
        assertEquals(
                List.of("b"),
                stopped(
                        urgent,
                        64,
                        victim("a", "blue", Priority.BEST_EFFORT, 4, 1),
                        victim("b", "red", Priority.STANDARD, 4, 5),
                        victim("c", "red", Priority.URGENT, 4, 1)));
        PlacementRequest standard = request(Priority.STANDARD, 1, true);
        standard.unschedulable = false;
        assertEquals(List.of(), stopped(standard, 64, victim("b", "red", Priority.STANDARD, 4, 5)));
    }

    @Test
    void whatIsBeingFreedIsNotFreedTwice() {
        assertEquals(
                List.of(),
                stopped(
                        request(Priority.PRODUCTION, 4, false),
                        4,
                        victim("a", "blue", Priority.STANDARD, 4, 1)));
    }
}
