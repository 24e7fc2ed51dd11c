package org.masticpaddle.bench;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.masticpaddle.kernel.Service;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.standin.EngineSettings;
import org.masticpaddle.standin.EngineStandIn;
import org.masticpaddle.standin.InstanceListStandIn;
import org.masticpaddle.standin.LogStandIn;
import org.masticpaddle.standin.PlainServiceStandIn;
import org.masticpaddle.standin.RatingStandIn;
import org.masticpaddle.standin.StandIn;
import org.masticpaddle.standin.WeightStoreStandIn;

/** Stand-ins for the platform and the upstreams of one {@link Deployment}. Used by one thread. */
public final class LocalPlatform implements Service {
    private static final Duration PLAIN_SERVICE_TIME = Duration.ofMillis(5);
    private static final Duration WEIGHT_LOAD_INTERVAL = Duration.ofMillis(100);

    private final LogStandIn log = new LogStandIn();
    private final InstanceListStandIn instances = new InstanceListStandIn();
    private final RatingStandIn ratings = new RatingStandIn(0.05, Map.of());
    private final WeightStoreStandIn weights = new WeightStoreStandIn(WEIGHT_LOAD_INTERVAL);
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<PlainServiceStandIn> plainServices = new ArrayList<>();

    /**
     * Creates stand-ins that are not started.
     *
     * @param deployment shape of the deployment
     * @param versions versions that the engines can serve
     * @param loaded versions that they have loaded at the start
     */
    public LocalPlatform(Deployment deployment, List<EngineSettings.Version> versions, List<String> loaded) {
        for (int index = 0; index < deployment.workers(); index++) {
            engines.add(new EngineStandIn(new EngineSettings(
                    versions,
                    loaded,
                    deployment.slots(),
                    20,
                    1,
                    0.2,
                    2_000,
                    4_096,
                    16,
                    true,
                    200,
                    50,
                    deployment.timeScale())));
        }
        for (int index = 0; index < deployment.plainWorkers(); index++) {
            plainServices.add(new PlainServiceStandIn(PLAIN_SERVICE_TIME));
        }
    }

    @Override
    public void start() {
        standIns().forEach(StandIn::start);
    }

    @Override
    public void stop() {
        standIns().forEach(StandIn::stop);
    }

    private List<StandIn> standIns() {
        final List<StandIn> all = new ArrayList<>(List.of(log, instances, ratings, weights));
        all.addAll(engines);
        all.addAll(plainServices);
        return all;
    }

    /**
     * Returns the stand-in for the log.
     *
     * @return the log
     */
    public LogStandIn log() {
        return log;
    }

    /**
     * Returns the stand-in for the instance list.
     *
     * @return the list
     */
    public InstanceListStandIn instances() {
        return instances;
    }

    /**
     * Returns the stand-in for the rating service.
     *
     * @return the service
     */
    public RatingStandIn ratings() {
        return ratings;
    }

    /**
     * Returns the engines.
     *
     * @return one for each worker
     */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /**
     * Returns the upstreams of the plain service.
     *
     * @return one for each upstream
     */
    public List<PlainServiceStandIn> plainServices() {
        return List.copyOf(plainServices);
    }

    /**
     * Writes the settings that all processes share.
     *
     * @return INI section
     */
    public String platformSection() {
        return "[platform]\nlog = " + log.origin() + "\ninstances = " + instances.origin() + "\nratings = "
                + ratings.origin() + "\nweights = " + weights.origin() + "\n";
    }

    /**
     * Puts a process into the instance list.
     *
     * @param id identifier of the instance
     * @param service service
     * @param region region
     * @param failureDomain failure domain
     * @param address address of the process
     */
    public void register(String id, String service, String region, String failureDomain, URI address) {
        instances.register(new Instance(id, service, region, failureDomain, address, Instance.State.LIVE));
    }
}
