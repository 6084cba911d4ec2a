# Installs the coordination libraries with their headers and a CMake package.

set(FERRY_EMBEDDABLE LibCore LibWire LibConsensus LibMembership LibRegistry)

function(ferry_install_libraries)
  include(CMakePackageConfigHelpers)
  set(PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/Ferry)
  foreach(NAME ${FERRY_EMBEDDABLE})
    get_target_property(KIND ${NAME} TYPE)
    set(SCOPE PUBLIC)
    if(KIND STREQUAL "INTERFACE_LIBRARY")
      set(SCOPE INTERFACE)
    endif()
    target_include_directories(${NAME} ${SCOPE}
      $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/ferry>)
    install(DIRECTORY Libraries/${NAME}
      DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/ferry
      FILES_MATCHING PATTERN "*.h" PATTERN "Idl" EXCLUDE)
  endforeach()
  install(TARGETS ${FERRY_EMBEDDABLE} EXPORT FerryTargets
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(EXPORT FerryTargets NAMESPACE Ferry:: DESTINATION ${PACKAGE_DIR})
  configure_package_config_file(Meta/FerryConfig.cmake.in
    ${CMAKE_BINARY_DIR}/FerryConfig.cmake INSTALL_DESTINATION ${PACKAGE_DIR})
  write_basic_package_version_file(${CMAKE_BINARY_DIR}/FerryConfigVersion.cmake
    COMPATIBILITY SameMinorVersion)
  install(FILES ${CMAKE_BINARY_DIR}/FerryConfig.cmake
    ${CMAKE_BINARY_DIR}/FerryConfigVersion.cmake DESTINATION ${PACKAGE_DIR})
endfunction()
