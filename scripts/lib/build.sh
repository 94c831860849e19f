# Installs missing Debian 12 packages and builds into build/. Sourced by the
# other scripts; requires ROOT.

PACKAGES=(g++ cmake ninja-build pkg-config curl
  libh2o-evloop-dev libthrift-dev libboost-dev prometheus-cpp-dev
  libcli11-dev libeasyloggingpp-dev libexpected-dev libtrompeloeil-cpp-dev
  catch2 libcoap3-dev libxxhash-dev librapidcheck-dev libssl-dev zlib1g-dev
  libbenchmark-dev nlohmann-json3-dev libtomlplusplus-dev)

install_packages() {
  local missing=()
  local package
  for package in "${PACKAGES[@]}" "$@"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed' || missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return 0
  echo "installing: ${missing[*]}"
  apt-get update -qq && apt-get install -y -qq "${missing[@]}" >/dev/null
}

# build_project [TARGET...]: builds the targets, by default all.
build_project() {
  cmake -S "$ROOT" -B "$ROOT/build" -G Ninja >/dev/null
  ninja -C "$ROOT/build" "$@" | tail -n 1
}
