package io.pepperfield.controller;

import io.pepperfield.admission.Admission;

/** Drives fair admission, and has the leader count the queues that it decides by. */
record AdmissionTicker(Admission admission, CurrentLeader currentLeader) {

    void tick() {
        if (currentLeader.isPresent() && admission.isDue()) {
            currentLeader.get().get().countQueuedTasks(admission.queueWaitPredictor());
        }
        admission.tick();
    }
}
