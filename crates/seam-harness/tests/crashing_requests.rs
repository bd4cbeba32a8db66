//! A request that crashes every target that runs it is refused by all nodes soon after its third
//! crash, whatever happened to the nodes meanwhile.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use seam_core::poison::SUSPECT_TTL;
use seam_harness::deployments::{self, DESK, DeploymentSpec, WRITER, customer_name};
use seam_harness::fault::Fault;
use seam_harness::ids::{KeyChoice, OpId};
use seam_harness::traffic::Traffic;
use seam_harness::world::{BOOT_TIME, Call, World};
use seam_protocol::{CustomerId, RegionId, ServiceId, Time, VmId};
use yare::parameterized;

/// Time after which nothing is urgent any more.
const QUIET: Duration = Duration::from_secs(60);
/// Time for which a node must have been up and connected to know what the others know.
const CONTACT: Duration = Duration::from_secs(6);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn world(seed: u64) -> World {
    let mut world = World::new(deployments::bundle(&deployments::bulabula()), seed);
    world.run_for(BOOT_TIME);
    world
}

fn vm_names(spec: &DeploymentSpec) -> Vec<Vec<String>> {
    let regions = spec.regions.iter();
    regions
        .map(|(region, count)| {
            let indices = 0..*count;
            indices
                .map(|index| deployments::vm_name(region, index))
                .collect()
        })
        .collect()
}

fn call(vm: &str, service: &str) -> Call {
    Call {
        customer: CustomerId::of(&customer_name(1)),
        service: ServiceId::of(service),
        vm: VmId::of(vm),
        repeatable: service == WRITER,
        key: KeyChoice::None,
        prefix: None,
        poison: true,
        budget: secs(5),
    }
}

/// Keeps every region's targets of a service busy with requests of other customers.
fn add_traffic(world: &mut World, rate: f64, service: &str, until: Time) {
    for (index, (region, _)) in deployments::bulabula().regions.iter().enumerate() {
        world.add_traffic(Traffic {
            customer: CustomerId::of(&customer_name(10 + index)),
            region: RegionId::of(region),
            service: ServiceId::of(service),
            rate,
            peak: None,
            from: world.now,
            until,
            repeatable: service == WRITER,
            key: KeyChoice::None,
            prefixes: 0,
            budget: secs(20),
        });
    }
}

fn runs(world: &World, op: OpId) -> usize {
    world.oracle.ops[&op].runs.len()
}

/// Returns the number of quarantined fingerprints at each running node.
fn quarantined(world: &World) -> Vec<usize> {
    let vms = world.running_vms().into_iter();
    vms.map(|vm| {
        let status = world.node(vm).unwrap().status(world.local_time(vm));
        status.quarantine.len()
    })
    .collect()
}

/// Sends the request to each VM of a list in turn.
fn send_to_all(world: &mut World, op: OpId, vms: &[String]) {
    for vm in vms {
        world.resend(op, VmId::of(vm));
        world.run_for(secs(1));
    }
}

/// Returns a world in which the request has been found long ago, and all VMs by region.
fn found_long_ago(seed: u64) -> (World, OpId, Vec<Vec<String>>) {
    let vms = vm_names(&deployments::bulabula());
    let mut world = world(seed);
    let op = world.call(call(&vms[0][0], WRITER)).unwrap();
    world.run_for(secs(5));
    send_to_all(&mut world, op, &vms[0]);
    world.run_for(QUIET);
    (world, op, vms)
}

/// Guards against nodes that learn of a quarantine only if they were up when it was found.
#[test]
fn restarted_nodes() {
    let (mut world, op, vms) = found_long_ago(1);
    let before = runs(&world, op);
    for vm in vms.concat() {
        world.inject_fault(&Fault::Kill { vm: vm.clone() });
        world.run_for(secs(1));
        world.inject_fault(&Fault::Boot { vm });
        world.run_for(CONTACT);
    }
    send_to_all(&mut world, op, &vms.concat());
    assert_eq!(runs(&world, op), before);
}

/// Guards against a first crash that is forgotten as the nodes that saw it restart one by one.
#[test]
fn restarted_witnesses() {
    let vms = vm_names(&deployments::bulabula());
    let mut world = world(13);
    let op = world.call(call(&vms[0][0], DESK)).unwrap();
    world.run_for(QUIET);
    for vm in vms.concat() {
        restart(&mut world, &[vm], 1000);
        world.run_for(CONTACT);
    }
    world.resend(op, VmId::of(&vms[1][0]));
    world.run_for(CONTACT);
    assert_eq!(runs(&world, op), 2);
    assert_eq!(quarantined(&world), [1; 9], "{}", audits(&world));
}

/// Guards against a quarantine that is lost where all nodes of a region restart at once.
#[test]
fn restarted_region() {
    let (mut world, op, vms) = found_long_ago(2);
    let before = runs(&world, op);
    for vm in vms[0].clone() {
        world.inject_fault(&Fault::Kill { vm });
    }
    world.run_for(secs(2));
    for vm in vms[0].clone() {
        world.inject_fault(&Fault::Boot { vm });
    }
    world.run_for(CONTACT);
    send_to_all(&mut world, op, &vms[0]);
    assert_eq!(runs(&world, op), before);
}

/// Guards against a quarantine that never reaches a region that was cut off when it was found.
#[test]
fn healed_region() {
    let vms = vm_names(&deployments::bulabula());
    let mut world = world(3);
    let region = deployments::bulabula().regions[2].0.clone();
    world.inject_fault(&Fault::Isolate { region });
    let op = world.call(call(&vms[0][0], WRITER)).unwrap();
    world.run_for(secs(5));
    send_to_all(&mut world, op, &vms[0]);
    world.run_for(QUIET);
    let before = runs(&world, op);
    world.inject_fault(&Fault::Heal);
    world.run_for(CONTACT);
    send_to_all(&mut world, op, &vms[2]);
    assert_eq!(runs(&world, op), before);
}

/// Guards against each side of a cut keeping only what it found itself.
#[test]
fn both_sides() {
    let vms = vm_names(&deployments::bulabula());
    let mut world = world(4);
    let region = deployments::bulabula().regions[0].0.clone();
    world.inject_fault(&Fault::Isolate { region });
    let op = world.call(call(&vms[0][0], WRITER)).unwrap();
    for _ in 0..10 {
        send_to_all(&mut world, op, &[vms[0][1].clone(), vms[1][1].clone()]);
    }
    world.run_for(QUIET);
    world.inject_fault(&Fault::Heal);
    world.run_for(CONTACT);
    let before = runs(&world, op);
    send_to_all(&mut world, op, &vms.concat());
    assert_eq!(runs(&world, op), before);
    assert!(before <= 6, "{before} runs");
}

/// Guards against crashes that different nodes saw and nobody adds up.
#[test]
fn many_nodes() {
    let vms = vm_names(&deployments::bulabula()).concat();
    let mut world = world(5);
    let end = world.now + secs(40);
    add_traffic(&mut world, 12.0, WRITER, end);
    world.run_for(secs(10));
    let op = world.call(call(&vms[0], WRITER)).unwrap();
    for round in 0..60 {
        world.run_for(Duration::from_millis(300));
        world.resend(op, VmId::of(&vms[(round * 5) % vms.len()]));
    }
    world.run_for(secs(20));
    assert!(
        world.oracle.breaches.is_empty(),
        "{:?}",
        world.oracle.breaches
    );
}

/// Guards against crashes at the same moment that each node counts for itself.
#[test]
fn crashes_at_once() {
    let vms = vm_names(&deployments::bulabula());
    let mut world = world(8);
    let op = world.call(call(&vms[0][0], DESK)).unwrap();
    world.resend(op, VmId::of(&vms[1][0]));
    world.resend(op, VmId::of(&vms[2][0]));
    world.run_for(secs(10));
    let op_state = &world.oracle.ops[&op];
    assert!(op_state.crashes.len() >= 3, "{:?}", op_state.crashes);
    for vm in vms.concat() {
        world.resend(op, VmId::of(&vm));
    }
    world.run_for(secs(10));
    assert!(
        world.oracle.breaches.is_empty(),
        "{:?}",
        world.oracle.breaches
    );
}

/// Guards against two requests that crash a target together and so are never found.
#[test]
fn two_culprits() {
    let vms = vm_names(&deployments::bulabula());
    let mut world = world(6);
    let ops = [0, 1].map(|node| world.call(call(&vms[0][node], DESK)).unwrap());
    for round in 0..20 {
        world.run_for(secs(4));
        for (index, op) in ops.into_iter().enumerate() {
            world.resend(op, VmId::of(&vms[0][(round + index) % 3]));
        }
    }
    world.run_for(secs(10));
    assert!(
        world.oracle.breaches.is_empty(),
        "{:?}",
        world.oracle.breaches
    );
}

/// Guards against a quarantine that nodes keep alive by reporting it to each other.
#[test]
fn quarantine_ends() {
    let (mut world, _, vms) = found_long_ago(9);
    world.run_until(world.now + SUSPECT_TTL.saturating_sub(QUIET + secs(10)));
    assert!(quarantined(&world).iter().all(|count| *count == 1));
    for vm in vms[1].clone() {
        restart(&mut world, &[vm], 100);
        world.run_for(secs(2));
    }
    world.run_for(secs(30));
    assert!(quarantined(&world).iter().all(|count| *count == 0));
}

/// Guards against refusing requests that ran beside the one that crashes targets.
#[test]
fn neighbours_served() {
    let vms = vm_names(&deployments::bulabula()).concat();
    let mut world = world(7);
    let end = world.now + secs(60);
    add_traffic(&mut world, 12.0, WRITER, end);
    world.run_for(secs(10));
    let op = world.call(call(&vms[0], WRITER)).unwrap();
    for round in 0..30 {
        world.run_for(secs(1));
        world.resend(op, VmId::of(&vms[(round * 2) % vms.len()]));
    }
    let quarantined = quarantined(&world);
    assert!(
        quarantined.iter().all(|count| *count == 1),
        "{quarantined:?}{}",
        audits(&world)
    );
}

/// Guards against refusing a request that many callers send because its targets crashed by
/// themselves, all at once.
#[test]
fn popular_request() {
    let vms = vm_names(&deployments::bulabula()).concat();
    let mut world = world(10);
    let op = world
        .call(Call {
            poison: false,
            ..call(&vms[0], WRITER)
        })
        .unwrap();
    let send_for = |world: &mut World, seconds: u64| {
        for round in 0..seconds * 10 {
            world.run_for(Duration::from_millis(100));
            world.resend(op, VmId::of(&vms[round as usize % vms.len()]));
        }
    };
    send_for(&mut world, 10);
    for _ in 0..3 {
        for target in world.target_names() {
            world.inject_fault(&Fault::Crash { target, ms: 1000 });
        }
        send_for(&mut world, 8);
    }
    assert_eq!(quarantined(&world), [0; 9], "{}", audits(&world));
}

/// Guards against a suspect that is sent on to one region after the other.
#[test]
fn one_call() {
    let spec = deployments::large(9, 27, 1, 20);
    let mut world = World::new(deployments::bundle(&spec), 12);
    world.run_for(BOOT_TIME + secs(5));
    // The region has one target, so a retry goes to other regions.
    let vm = &vm_names(&spec)[3][0];
    let poison = Call {
        repeatable: true,
        ..call(vm, &spec.services[0].name)
    };
    let op = world.call(poison).unwrap();
    world.run_for(secs(10));
    assert!(runs(&world, op) <= 3, "{}", audits(&world));
}

/// Guards against a quarantine that takes too long to reach every node of a large fleet, also where
/// the crashes of full targets make many suspects.
#[test]
fn large_fleet() {
    let spec = deployments::large(25, 370, 2, 20);
    let mut world = World::new(deployments::bundle(&spec), 11);
    world.run_for(BOOT_TIME + secs(5));
    let vm = &vm_names(&spec)[3][0];
    let service = spec.services[0].name.clone();
    let poison = Call {
        repeatable: true,
        ..call(vm, &service)
    };
    for _ in 0..40 {
        world.call(Call {
            poison: false,
            ..poison
        });
    }
    let op = world.call(poison).unwrap();
    for _ in 0..2 {
        world.run_for(secs(8));
        world.resend(op, VmId::of(vm));
    }
    world.run_for(secs(1));
    let found = quarantined(&world)
        .iter()
        .filter(|count| **count > 0)
        .count();
    assert!(found > 0, "{}", audits(&world));
    world.run_for(CONTACT);
    let quarantined = quarantined(&world);
    assert_eq!(quarantined.len(), 370);
    assert!(
        quarantined.iter().all(|count| *count > 0),
        "{quarantined:?}"
    );
}

/// One step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Resend(usize, usize),
    Restart(usize, u64),
    RestartRegion(usize, u64),
    Roll(u64),
    Pause(usize, u64),
    Cut(usize),
    Isolate(usize),
    Heal,
    Crash(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (50_u64..3000).prop_map(Step::Wait),
        24 => (0_usize..2, 0_usize..9).prop_map(|(op, vm)| Step::Resend(op, vm)),
        2 => (0_usize..9, 0_u64..3000).prop_map(|(vm, ms)| Step::Restart(vm, ms)),
        1 => (0_usize..3, 0_u64..3000).prop_map(|(region, ms)| Step::RestartRegion(region, ms)),
        1 => (500_u64..3000).prop_map(Step::Roll),
        1 => (0_usize..9, 100_u64..6000).prop_map(|(vm, ms)| Step::Pause(vm, ms)),
        1 => (0_usize..9).prop_map(Step::Cut),
        1 => (0_usize..3).prop_map(Step::Isolate),
        3 => Just(Step::Heal),
        1 => (0_usize..18).prop_map(Step::Crash),
    ];
    prop::collection::vec(step, 20..200)
}

fn restart(world: &mut World, vms: &[String], ms: u64) {
    for vm in vms {
        world.inject_fault(&Fault::Kill { vm: vm.clone() });
    }
    for vm in vms {
        let at = world.now + Duration::from_millis(ms);
        world.schedule_fault(at, Fault::Boot { vm: vm.clone() });
    }
}

fn play(world: &mut World, ops: &[OpId], step: &Step) {
    let spec = deployments::bulabula();
    let regions = vm_names(&spec);
    let vms = regions.concat();
    match step {
        Step::Wait(ms) => world.run_for(Duration::from_millis(*ms)),
        Step::Resend(op, vm) => world.resend(ops[*op], VmId::of(&vms[*vm])),
        Step::Restart(vm, ms) => restart(world, &vms[*vm..=*vm], *ms),
        Step::RestartRegion(region, ms) => restart(world, &regions[*region], *ms),
        Step::Roll(ms) => {
            for vm in &vms {
                restart(world, std::slice::from_ref(vm), 300);
                world.run_for(Duration::from_millis(*ms));
            }
        }
        Step::Pause(vm, ms) => world.inject_fault(&Fault::Pause {
            vm: vms[*vm].clone(),
            ms: *ms,
        }),
        Step::Cut(vm) => world.inject_fault(&Fault::Cut {
            vm: vms[*vm].clone(),
        }),
        Step::Isolate(region) => world.inject_fault(&Fault::Isolate {
            region: spec.regions[*region].0.clone(),
        }),
        Step::Heal => world.inject_fault(&Fault::Heal),
        Step::Crash(target) => {
            let names = world.target_names();
            world.inject_fault(&Fault::Crash {
                target: names[*target].clone(),
                ms: 3000,
            });
        }
    }
}

/// Returns what nodes audited of crashes and quarantines, one line each.
fn audits(world: &World) -> String {
    let lines = world.crash_audits.iter().map(|(time, vm, audit)| {
        format!(
            "\n{:>8.3} {:9} {:?} of {} from {:?} to {:?}: {}",
            time.0 as f64 / 1e6,
            world.vm_name(*vm),
            audit.change,
            audit.subject,
            audit.old,
            audit.new,
            audit.cause
        )
    });
    lines.collect()
}

/// Runs random histories with two such requests and busy targets. Returns what failed.
fn play_histories(seed: u64, cases: u32) -> Option<String> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&steps(), |steps| {
        let mut world = world(seed);
        let end = world.now + secs(300);
        add_traffic(&mut world, 3.0, WRITER, end);
        let vms = vm_names(&deployments::bulabula());
        let ops = [(&vms[0][0], WRITER), (&vms[1][0], DESK)]
            .map(|(vm, service)| world.call(call(vm, service)).unwrap());
        for step in &steps {
            play(&mut world, &ops, step);
        }
        world.inject_fault(&Fault::Heal);
        world.run_for(secs(10));
        prop_assert!(
            world.oracle.breaches.is_empty(),
            "{:?}{}",
            world.oracle.breaches,
            audits(&world)
        );
        Ok(())
    });
    result.err().map(|error| format!("seed {seed}: {error}\n"))
}

/// Guards against a request that goes on crashing targets after random faults of nodes.
#[test]
fn random_histories() {
    let seeds = std::env::var("CRASH_SEEDS").unwrap_or_else(|_| "1-4".to_owned());
    let (first, last) = seeds.split_once('-').expect("a range like 1-4");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let failed: String = (first..=last)
        .filter_map(|seed| play_histories(seed, 40))
        .collect();
    assert!(failed.is_empty(), "{failed}");
}

/// Guards against suspects that are forgotten while regions restart one after the other.
#[test]
fn restarted_regions() {
    let failed = play_histories(47, 40);
    assert!(failed.is_none(), "{failed:?}");
}

/// Guards against a request that goes on after all nodes that knew of it restarted at once, or
/// while they were cut off.
#[parameterized(node_cut_off = { 30 }, region_cut_off = { 70 })]
fn forgotten(seed: u64) {
    let failed = play_histories(seed, 40);
    assert!(failed.is_none(), "{failed:?}");
}
