package io.pepperfield.controller;

import io.pepperfield.admission.Admission;

/**
 * Drives fair admission. When admission is due on the leader, first updates the counts of queued
 * tasks that its decisions are based on.
 */
record AdmissionTicker(Admission admission, CurrentLeader currentLeader) {

    void tick() {
        if (currentLeader.isPresent() && admission.isDue()) {
            currentLeader.get().get().countQueuedTasks(admission.queueWaitPredictor());
        }
        admission.tick();
    }
}
