cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
dir=out/config
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT
lab_up "$dir" 9 examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || exit 1
export HQ_STORE=$STORE
sleep 6
time bin/hqctl status
bin/hqctl contract list
bin/hqctl service list
bin/hqctl contract get bot-workers >$dir/c.jsonc; head -3 $dir/c.jsonc
sed -i 's/"rate": 800/"rate": 801/' $dir/c.jsonc
cp $dir/c.jsonc $dir/c2.jsonc; sed -i 's/"rate": 801/"rate": 805/' $dir/c2.jsonc
bin/hqctl contract diff $dir/c.jsonc; echo "exit $?"
time bin/hqctl contract apply --wait $dir/c.jsonc; echo "exit $?"
bin/hqctl contract apply --wait $dir/c2.jsonc; echo "exit $?"
bin/hqctl explain bot-workers
sed -i 's/"burst": 80/"burst": -1/' $dir/c2.jsonc
bin/hqctl contract check $dir/c2.jsonc; echo "exit $?"
bin/hqctl --json status | head -12
bin/hqctl --timeout 1s contract delete bot-workers --read 1; echo "exit $?"
bin/hqctl contract frob; echo "exit $?"
bin/hqctl dump vm1 hq-agent | head -c 300; echo
curl -s http://$(lab_admin $dir/vm1/agent.jsonc)/metrics | head -c 1500
